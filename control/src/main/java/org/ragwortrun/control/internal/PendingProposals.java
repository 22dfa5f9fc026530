package org.ragwortrun.control.internal;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/** Counts proposals whose outcome is not known yet, so that an orderly shutdown can wait for them. */
final class PendingProposals {
    private static final long POLL_MS = 5;

    private final AtomicInteger count = new AtomicInteger();

    <T> CompletableFuture<T> track(CompletableFuture<T> proposal) {
        count.incrementAndGet();
        return proposal.whenComplete((r, e) -> count.decrementAndGet());
    }

    /** Waits until no proposal is pending, or until the timeout expires. */
    void await(Duration timeout) throws InterruptedException {
        long deadlineNanos = System.nanoTime() + timeout.toNanos();
        while (count.get() > 0 && System.nanoTime() - deadlineNanos < 0) {
            TimeUnit.MILLISECONDS.sleep(POLL_MS);
        }
    }
}
