package org.ragwortrun.measure.config;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.CopyOnWriteArrayList;

/** The acknowledged changes in their order, and the routes that they add. */
final class ChangeLog {
    private final List<Change> changes = new CopyOnWriteArrayList<>();

    void add(Change change) {
        changes.add(change);
    }

    List<Change> all() {
        return changes;
    }

    /** Returns the newest change that had been acknowledged before a time. */
    Optional<Change> newestBefore(long nanos) {
        for (int i = changes.size() - 1; i >= 0; i--) {
            if (changes.get(i).ackNanos() - nanos < 0) {
                return Optional.of(changes.get(i));
            }
        }
        return Optional.empty();
    }

    /** Returns the path of the route that only the configuration before a change has. */
    static String droppedPath(int number) {
        return onlyPath(number - 1);
    }

    /** Returns the path of the route that only the configuration of a change has. */
    static String onlyPath(int number) {
        return "/only-" + number + "/";
    }

    static String path(int number) {
        return "/route-" + number + "/";
    }
}
