package org.ragwortrun.router.internal.forward;

import java.time.Duration;

/**
 * Computes when callers of a host that has just started should retry.
 *
 * <p>When a whole fleet restarts after a power failure, its hosts receive their configuration at the same time, after
 * an election, while their processors are busy with the start. A load balancer sends callers to such a host only while
 * no host is ready, so no other host can serve them sooner. The remaining time of the start is estimated as its
 * duration so far, because slow hosts are slow throughout. The delays are spread, so that callers do not return all at
 * once.
 */
final class StartupRetryDelay {
    // Within the range of times that fleets on fast hosts need between listening and receiving their configuration.
    private static final Duration MIN_DELAY = Duration.ofMillis(1_200);
    // Callers with a typical deadline would not retry later than this.
    private static final Duration MAX_DELAY = Duration.ofSeconds(3);
    private static final double SPREAD = 0.5;

    private StartupRetryDelay() {}

    /**
     * Returns the delay after which to retry.
     *
     * @param elapsed time since the host started to listen
     * @param random random number from 0 (inclusive) to 1 (exclusive)
     */
    static Duration retryAfter(Duration elapsed, double random) {
        long remaining = Math.max(MIN_DELAY.toMillis(), Math.min(MAX_DELAY.toMillis(), elapsed.toMillis()));
        return Duration.ofMillis((long) (remaining * (1 + SPREAD * random)));
    }
}
