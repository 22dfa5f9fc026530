package org.ragwortrun.control.internal;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/** Counts proposals whose outcome is not known yet, so that a planned stop can wait for them. */
final class InFlight {
    private static final long POLL_MS = 5;

    private final AtomicInteger count = new AtomicInteger();

    <T> CompletableFuture<T> track(CompletableFuture<T> proposal) {
        count.incrementAndGet();
        return proposal.whenComplete((r, e) -> count.decrementAndGet());
    }

    /** Waits until there are none, or until the time is over. */
    void await(Duration longest) throws InterruptedException {
        long end = System.nanoTime() + longest.toNanos();
        while (count.get() > 0 && System.nanoTime() - end < 0) {
            TimeUnit.MILLISECONDS.sleep(POLL_MS);
        }
    }
}
