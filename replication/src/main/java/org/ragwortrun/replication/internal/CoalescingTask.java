package org.ragwortrun.replication.internal;

import java.util.concurrent.atomic.AtomicBoolean;
import org.ragwortrun.core.concurrent.Duty;

/** Work of one group on a shared duty. It waits there at most once, however often it is scheduled. */
final class CoalescingTask {
    private final Duty duty;
    private final Runnable body;
    private final AtomicBoolean queued = new AtomicBoolean();

    CoalescingTask(Duty duty, Runnable body) {
        this.duty = duty;
        this.body = body;
    }

    /** Runs the body once more after all that was visible at this call. */
    void schedule() {
        if (queued.compareAndSet(false, true) && !duty.offer(this::run)) {
            queued.set(false);
        }
    }

    private void run() {
        queued.set(false);
        body.run();
    }
}
