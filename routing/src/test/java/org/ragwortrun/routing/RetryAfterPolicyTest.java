package org.ragwortrun.routing;

import static com.google.common.truth.Truth.assertThat;

import java.util.Random;
import org.junit.jupiter.api.Test;
import org.ragwortrun.routing.RetryAfterPolicy.Backlog;

final class RetryAfterPolicyTest {
    private static final long MS = 1_000_000;

    private final RetryAfterPolicy policy = new RetryAfterPolicy(new Random(3)::nextDouble);

    /** Guards against a wait here for a request that another router could serve now. */
    @Test
    void callerRetriesElsewhereAtOnce() {
        assertThat(policy.retryAfter(new Backlog(500, 0, 10), 3_000 * MS, true).toMillis())
                .isEqualTo(50);
        assertThat(policy.retryAfter(new Backlog(500, 0, 10), 60 * MS, true).toMillis())
                .isEqualTo(20);
    }

    /** Guards against a time that a caller does not honor, because it exceeds a third of what remains to it. */
    @Test
    void neverExceedsThirdOfRemainingTime() {
        for (int i = 0; i < 1_000; i++) {
            long after = policy.retryAfter(new Backlog(400, i, 50), 1_500 * MS, false)
                    .toMillis();
            assertThat(after).isAtMost(500);
            assertThat(after).isAtLeast(0);
        }
        assertThat(policy.retryAfter(new Backlog(4, 0, 1), -5, false).toNanos()).isEqualTo(0);
    }

    /** Guards against callers that return while those before them still wait. */
    @Test
    void followsDrainRate() {
        long slow = policy.retryAfter(new Backlog(40, 0, 50), 9_000 * MS, false).toMillis();
        long fast =
                policy.retryAfter(new Backlog(40, 0, 500), 9_000 * MS, false).toMillis();
        assertThat(slow).isAtLeast(800);
        assertThat(fast).isAtMost(300);
    }

    /** Replays 200 callers refused at once and told the same wait: no tenth of the interval may get most of them. */
    @Test
    void spreadsManyCallers() {
        int[] tenths = new int[10];
        for (int i = 0; i < 200; i++) {
            long after = policy.retryAfter(new Backlog(50, i, 100), 3_000 * MS, false)
                    .toMillis();
            tenths[(int) Math.min(9, after / 100)]++;
        }
        // Told the same time, all 200 would return within one of them.
        for (int t : tenths) {
            assertThat(t).isLessThan(70);
        }
    }
}
