package org.ragwortrun.routing;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import org.junit.jupiter.api.Test;

final class LimitStatementTest {
    @Test
    void parsesLowestReadableLimit() {
        assertThat(LimitStatement.parse(List.of("1.5")).getAsDouble()).isEqualTo(1.5);
        assertThat(LimitStatement.parse(List.of(" 0 ")).getAsDouble()).isEqualTo(0.0);
        assertThat(LimitStatement.parse(List.of("5", "2")).getAsDouble()).isEqualTo(2.0);
        assertThat(LimitStatement.parse(List.of("5, 2", "x")).getAsDouble()).isEqualTo(2.0);
    }

    @Test
    void ignoresValuesThatAreNoLimit() {
        for (String value : List.of("-1", "", "soon", "NaN", "Infinity", "1e999", ",", "9".repeat(2_000))) {
            assertThat(LimitStatement.parse(List.of(value)).isEmpty()).isTrue();
        }
        assertThat(LimitStatement.parse(List.of()).isEmpty()).isTrue();
    }

    /** Guards against a limit that is never found to have ended, because no request is sent. */
    @Test
    void zeroStillAllowsOccasionalRequest() {
        assertThat(new LimitStatement(0, 0, 1).usablePerSecond()).isWithin(1e-9).of(0.2);
    }

    @Test
    void laterStatementReplacesEarlierOne() {
        LimitStatement first = new LimitStatement(2, 10, 20);
        assertThat(new LimitStatement(5, 20, 30).supersedes(first)).isTrue();
        assertThat(LimitStatement.unlimited(20, 30).supersedes(first)).isTrue();
        assertThat(first.supersedes(new LimitStatement(5, 20, 30))).isFalse();
    }

    /** Guards against a limit that is lifted by an answer which the endpoint may have sent before it named the limit. */
    @Test
    void overlappingStatementCanOnlyLowerLimit() {
        LimitStatement first = new LimitStatement(2, 10, 20);
        assertThat(LimitStatement.unlimited(15, 40).supersedes(first)).isFalse();
        assertThat(new LimitStatement(3, 15, 40).supersedes(first)).isFalse();
        assertThat(new LimitStatement(1, 15, 40).supersedes(first)).isTrue();
    }
}
