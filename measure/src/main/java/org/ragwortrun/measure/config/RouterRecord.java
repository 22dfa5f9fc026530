package org.ragwortrun.measure.config;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;

/** What the answers of one router showed. A change in force shows that all earlier ones are. */
final class RouterRecord {
    private final String router;
    private final ChangeLog changes;
    private final Map<Integer, Long> seenNanos = new HashMap<>();
    private final Queue<Denial> denials = new ConcurrentLinkedQueue<>();
    private final Queue<OldPartAnswer> oldParts = new ConcurrentLinkedQueue<>();
    private final Map<String, Integer> answers = new ConcurrentHashMap<>();
    private int newestSeen;

    RouterRecord(String router, ChangeLog changes) {
        this.router = router;
        this.changes = changes;
    }

    String router() {
        return router;
    }

    /** Returns the acknowledged changes that no answer has shown, the oldest first. */
    synchronized List<Change> pending() {
        List<Change> all = changes.all();
        int first = all.size();
        while (first > 0 && all.get(first - 1).number() > newestSeen) {
            first--;
        }
        return new ArrayList<>(all.subList(first, all.size()));
    }

    synchronized void onInForce(Change change, long nanos) {
        if (change.number() <= newestSeen) {
            return;
        }
        pending().stream()
                .filter(c -> c.number() <= change.number())
                .forEach(c -> seenNanos.putIfAbsent(c.number(), nanos));
        newestSeen = change.number();
    }

    void onDenied(Denial denial) {
        denials.add(denial);
    }

    void onOldPartAsked(OldPartAnswer answer) {
        oldParts.add(answer);
    }

    /** Returns the answers to requests that only older configurations allow. */
    Queue<OldPartAnswer> oldParts() {
        return oldParts;
    }

    void onAnswer(String kind) {
        answers.merge(kind, 1, Integer::sum);
    }

    Queue<Denial> denials() {
        return denials;
    }

    /** Returns the number of answers by their kind. */
    Map<String, Integer> answers() {
        return answers;
    }

    /** Returns the arrival of each change. A change that was not seen arrives at the end of the run. */
    synchronized List<Arrival> arrivals(long endNanos) {
        return changes.all().stream()
                .map(c -> {
                    Long seen = seenNanos.get(c.number());
                    return new Arrival(router, c, seen == null ? endNanos : seen, seen != null);
                })
                .toList();
    }
}
