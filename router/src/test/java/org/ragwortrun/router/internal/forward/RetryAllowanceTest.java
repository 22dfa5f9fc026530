package org.ragwortrun.router.internal.forward;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;

final class RetryAllowanceTest {
    private final RetryAllowance allowance = new RetryAllowance(0.1, () -> 2, 1_000);

    /** All endpoints of an origin fail, so that every request asks for a retry. */
    @Test
    void limitsRetriesToShareOfRequests() {
        int taken = 0;
        for (int i = 0; i < 100; i++) {
            allowance.onRequest("o", 500);
            taken += allowance.tryAcquire("o", 500) ? 1 : 0;
        }
        assertThat(taken).isAtMost(12);
        assertThat(taken).isAtLeast(10);
    }

    @Test
    void allowsRetriesAgainAfterWindow() {
        assertThat(allowance.tryAcquire("o", 0)).isTrue();
        assertThat(allowance.tryAcquire("o", 0)).isTrue();
        assertThat(allowance.tryAcquire("o", 0)).isFalse();
        assertThat(allowance.tryAcquire("o", 1_001)).isTrue();
    }

    @Test
    void countsRetriesPerOrigin() {
        allowance.tryAcquire("o", 0);
        allowance.tryAcquire("o", 0);
        assertThat(allowance.tryAcquire("p", 0)).isTrue();
    }
}
