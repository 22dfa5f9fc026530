package org.ragwortrun.replication.internal;

import java.util.concurrent.atomic.AtomicBoolean;
import org.ragwortrun.core.concurrent.SingleThreadExecutor;

/** Work of one group on a shared thread. It is queued at most once, however often it is scheduled. */
final class CoalescingTask {
    private final SingleThreadExecutor executor;
    private final Runnable body;
    private final AtomicBoolean queued = new AtomicBoolean();

    CoalescingTask(SingleThreadExecutor executor, Runnable body) {
        this.executor = executor;
        this.body = body;
    }

    /** Ensures that the body runs after this call and sees everything that was written before it. */
    void schedule() {
        if (queued.compareAndSet(false, true) && !executor.offer(this::run)) {
            queued.set(false);
        }
    }

    private void run() {
        queued.set(false);
        body.run();
    }
}
