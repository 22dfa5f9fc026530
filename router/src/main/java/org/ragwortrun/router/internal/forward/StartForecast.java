package org.ragwortrun.router.internal.forward;

import java.time.Duration;

/**
 * Tells callers of a host that has just started when to come back.
 *
 * <p>The load it answers: a fleet that returns after all power was lost. Its hosts learn their configuration together,
 * after an election, on processors that are busy with starts. A balancer leads callers to such a host only while none
 * serves, so no other host can serve them sooner. What the start has taken so far is taken for what is left of it, since
 * slow hosts are slow throughout. Callers are spread, so that they do not return at once.
 */
final class StartForecast {
    // Between the times that a fleet on fast hosts needs from listening to its configuration.
    private static final Duration LEAST = Duration.ofMillis(1_200);
    // Callers with a usual deadline would not come back later.
    private static final Duration MOST = Duration.ofSeconds(3);
    private static final double SPREAD = 0.5;

    private StartForecast() {}

    /**
     * Returns the time after which to come back.
     *
     * @param elapsed time since the host began to listen
     * @param random a number from 0 to below 1
     */
    static Duration comeBackAfter(Duration elapsed, double random) {
        long left = Math.max(LEAST.toMillis(), Math.min(MOST.toMillis(), elapsed.toMillis()));
        return Duration.ofMillis((long) (left * (1 + SPREAD * random)));
    }
}
