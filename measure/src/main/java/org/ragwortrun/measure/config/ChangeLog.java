package org.ragwortrun.measure.config;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.CopyOnWriteArrayList;

/** The acknowledged changes in their order, and the routes that they add. */
final class ChangeLog {
    /** Path of a route that each configuration moves to another origin. */
    static final String MOVED_PATH = "/moved/";
    /** Path of a route that needs a key. */
    static final String KEY_PATH = "/key/";

    private final List<Change> changes = new CopyOnWriteArrayList<>();
    private volatile int newestSent;

    void add(Change change) {
        changes.add(change);
    }

    /** Records that a change is sent, whether or not it is acknowledged. */
    void onSent(int number) {
        newestSent = number;
    }

    /** Returns the number of the newest change that may be in force. */
    int newestSent() {
        return newestSent;
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

    /** Returns the path of the route that only the configuration of a change has. */
    static String onlyPath(int number) {
        return "/only-" + number + "/";
    }

    /** Returns the API key that only the configuration of a change has. */
    static String onlyKey(int number) {
        return "key-" + number;
    }

    static String path(int number) {
        return "/route-" + number + "/";
    }
}
