package org.ragwortrun.measure.notices;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import org.apache.commons.rng.UniformRandomProvider;
import org.ragwortrun.measure.budgets.EventQueue;

/** An endpoint with slots and a queue, some of which get into trouble. */
final class ModelEndpoint {
    static final int SLOTS = 6;
    static final double WORK_MICROS = 85_700;
    private static final int MOST_WAITING = 24;
    private static final long TROUBLE_MICROS = 5_000_000;
    private static final long ASKED_MICROS = 2_000_000;
    private static final long GONE_AFTER_MICROS = 3_000_000;

    private final EventQueue events;
    private final UniformRandomProvider random;
    private final Trouble trouble;
    private final boolean troubled;
    private final Deque<Runnable> waiting = new ArrayDeque<>();
    private int running;

    ModelEndpoint(EventQueue events, UniformRandomProvider random, Trouble trouble, int index) {
        this.events = events;
        this.random = random;
        this.trouble = trouble;
        troubled = trouble.hits(index);
    }

    /** Answers of an endpoint. */
    interface Caller {
        void served();

        void turnedAway();

        void asksFor(Duration time);

        void saysLeaving();

        void unreachable();
    }

    /** Takes a request that has arrived. */
    void request(Caller caller) {
        long since = events.micros() - TROUBLE_MICROS;
        if (troubled && trouble == Trouble.THIRD_ASKS_FOR_TIME && since >= 0 && since < ASKED_MICROS) {
            caller.asksFor(Duration.ofNanos((ASKED_MICROS - since) * 1_000));
            caller.turnedAway();
        } else if (isGone(since)) {
            caller.unreachable();
        } else if (running < SLOTS) {
            run(caller);
        } else if (waiting.size() < MOST_WAITING) {
            waiting.add(() -> run(caller));
        } else {
            caller.turnedAway();
        }
    }

    private boolean isLeaving(long since) {
        return troubled && trouble == Trouble.HALF_LEAVES && since >= 0;
    }

    private boolean isGone(long since) {
        return isLeaving(since) && since >= GONE_AFTER_MICROS;
    }

    private void run(Caller caller) {
        running++;
        events.after((long) (-Math.log(1 - random.nextDouble()) * WORK_MICROS), () -> {
            running--;
            if (isLeaving(events.micros() - TROUBLE_MICROS)) {
                caller.saysLeaving();
            }
            caller.served();
            Runnable next = waiting.poll();
            if (next != null) {
                next.run();
            }
        });
    }
}
