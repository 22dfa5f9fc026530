package org.ragwortrun.router.internal.forward;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import org.junit.jupiter.api.Test;

/** Checks when callers of a starting fleet retry. */
final class StartupRetryDelayTest {
    /**
     * Guards against callers who all retry before the fleet is ready. The start takes 5 s, with one caller every 50 ms.
     */
    @Test
    void mostCallersReturnAfterFleetIsReady() {
        int served = 0;
        for (int ms = 0; ms < 5_000; ms += 50) {
            long returns = ms + after(ms, ms % 1_000 / 1_000.0);
            served += returns >= 5_000 ? 1 : 0;
        }
        assertThat(served).isAtLeast(50);
    }

    @Test
    void boundsAndSpreadsDelay() {
        assertThat(after(0, 0)).isAtLeast(1_000);
        assertThat(after(0, 0.99) - after(0, 0)).isAtLeast(500);
        assertThat(after(60_000, 0.99)).isAtMost(5_000);
    }

    private static long after(long elapsedMs, double random) {
        return StartupRetryDelay.retryAfter(Duration.ofMillis(elapsedMs), random)
                .toMillis();
    }
}
