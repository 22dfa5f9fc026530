package org.ragwortrun.routing;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;

final class ReturningCallersTest {
    private static final long MS = 1_000_000;

    private final ReturningCallers callers = new ReturningCallers();

    /** Guards against callers that gain precedence by ignoring their time. */
    @Test
    void recognizesOnlyCallersThatReturnAtTheirTime() {
        callers.onRefused("a", "/x", 100 * MS);
        assertThat(callers.isReturning("a", "/x", 99 * MS)).isFalse();
        assertThat(callers.isReturning("b", "/x", 101 * MS)).isFalse();
        assertThat(callers.isReturning("a", "/y", 101 * MS)).isFalse();
        assertThat(callers.isReturning("a", "/x", 100 * MS)).isTrue();
        assertThat(callers.isReturning("a", "/x", 101 * MS)).isFalse();
        assertThat(callers.count(101 * MS)).isEqualTo(0);
    }

    /** Guards against a caller that takes the precedence of another one that went away long before. */
    @Test
    void timesExpire() {
        callers.onRefused("a", "/x", 0);
        assertThat(callers.count(1_000 * MS)).isEqualTo(1);
        assertThat(callers.isReturning("a", "/x", 2_500 * MS)).isFalse();
        callers.onRefused("a", "/x", 0);
        assertThat(callers.count(2_500 * MS)).isEqualTo(0);
    }

    /** Guards against memory that grows with the number of targets or of refusals of one target. */
    @Test
    void memoryIsBounded() {
        for (int i = 0; i < 20_000; i++) {
            callers.onRefused("a", "/" + i, i);
            callers.onRefused("b", "/same", i);
        }
        assertThat(callers.count(20_000)).isAtMost(4_096 + 16);
    }
}
