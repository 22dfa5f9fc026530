package org.ragwortrun.routing;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;

final class WaitLimitTest {
    private static final long MS = 1_000_000;

    /** Guards against requests that wait although they cannot be answered within their time. */
    @Test
    void refusesAtOnceWhatWouldWaitForTooLong() {
        assertThat(WaitLimit.accept(1_500 * MS, 43 * MS, 1_600 * MS).isPresent())
                .isFalse();
        assertThat(WaitLimit.accept(60 * MS, 43 * MS, 20 * MS).isPresent()).isFalse();
        assertThat(WaitLimit.accept(0, 0, 0).isPresent()).isFalse();
        assertThat(WaitLimit.accept(-5, 43 * MS, 0).isPresent()).isFalse();
    }

    /** Guards against a caller that is left without time for a retry when the estimate was wrong. */
    @Test
    void givesUpAfterHalfOfRemainingTime() {
        assertThat(WaitLimit.accept(1_500 * MS, 43 * MS, 100 * MS).getAsLong()).isEqualTo(750 * MS);
        assertThat(WaitLimit.accept(1_500 * MS, 43 * MS, 600 * MS).getAsLong()).isEqualTo(900 * MS);
    }

    /** Guards against tokens that are held for the whole time limit of a long request. */
    @Test
    void boundsTheTimeForWhichTokensAreHeld() {
        assertThat(WaitLimit.accept(60_000 * MS, 2_000 * MS, 10 * MS).getAsLong())
                .isEqualTo(3_000 * MS);
    }

    /** Guards against requests that are never served because their route is usually slower than their deadline. */
    @Test
    void usualDurationAloneDoesNotExcludeRequest() {
        assertThat(WaitLimit.accept(1_000 * MS, 5_000 * MS, 100 * MS).getAsLong())
                .isEqualTo(500 * MS);
    }
}
