package org.ragwortrun.router.internal.flow;

import java.util.ArrayDeque;
import java.util.Queue;
import java.util.concurrent.Executor;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.jspecify.annotations.Nullable;
import org.ragwortrun.core.log.Event;

/**
 * Runs the events of one request sequentially on a thread that other requests share.
 *
 * <p>At most one task of a mailbox is in the thread's queue, so a queue with one slot per request never rejects a task.
 * The credit granted to the agent bounds the events queued in the mailbox.
 */
final class Mailbox implements Executor {
    private static final Logger LOG = LogManager.getLogger(Mailbox.class);
    // Yields to other requests after this many events.
    private static final int BATCH = 64;

    private final Executor duty;
    private final Queue<Runnable> events = new ArrayDeque<>();
    private boolean scheduled;

    Mailbox(Executor duty) {
        this.duty = duty;
    }

    @Override
    public void execute(Runnable event) {
        synchronized (events) {
            events.add(event);
            if (scheduled) {
                return;
            }
            scheduled = true;
        }
        duty.execute(this::drain);
    }

    private void drain() {
        for (int i = 0; i < BATCH; i++) {
            Runnable event = next();
            if (event == null) {
                return;
            }
            run(event);
        }
        duty.execute(this::drain);
    }

    private @Nullable Runnable next() {
        synchronized (events) {
            Runnable event = events.poll();
            if (event == null) {
                scheduled = false;
            }
            return event;
        }
    }

    @SuppressWarnings("PMD.AvoidCatchingGenericException")
    private static void run(Runnable event) {
        try {
            event.run();
        } catch (RuntimeException e) {
            Event.of("request-event-failed").error(LOG, e);
        }
    }
}
