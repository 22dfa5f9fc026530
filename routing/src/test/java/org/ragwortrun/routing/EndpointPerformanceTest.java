package org.ragwortrun.routing;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;
import org.ragwortrun.routing.EndpointPerformance.Evidence;

final class EndpointPerformanceTest {
    private static final long SECOND = 1_000_000_000L;
    private static final long MS = 1_000_000L;

    private final EndpointPerformance endpoint = new EndpointPerformance(0);

    /** An endpoint without answers must not be preferred or avoided. */
    @Test
    void startsAtMeanOfOrigin() {
        assertThat(endpoint.factor(0)).isEqualTo(1);
        assertThat(endpoint.factor(100 * SECOND)).isEqualTo(1);
    }

    /** An endpoint becomes five times slower: it is noticed only after many seconds. */
    @Test
    void noticesSlownessWithinOneSecond() {
        long now = record(0, 10 * SECOND, 100 * MS, 1);
        record(now, now + SECOND, 300 * MS, 5);
        assertThat(endpoint.factor(now + SECOND)).isGreaterThan(2);
    }

    /** A slow endpoint gets no requests any more, so that no answer shows that it has recovered. */
    @Test
    void returnsToMeanWithoutAnswers() {
        long now = record(0, 10 * SECOND, 100 * MS, 1);
        now = record(now, now + 6 * SECOND, 200 * MS, 5);
        assertThat(endpoint.factor(now)).isGreaterThan(3.5);
        assertThat(endpoint.factor(now + 5 * SECOND)).isLessThan(2.5);
        assertThat(endpoint.factor(now + 120 * SECOND)).isLessThan(1.1);
    }

    /** A lasting difference is forgotten between the answers of a quiet endpoint. */
    @Test
    void keepsLastingDifferenceForSeconds() {
        long now = record(0, 30 * SECOND, 500 * MS, 2);
        assertThat(endpoint.factor(now + 10 * SECOND)).isGreaterThan(1.6);
    }

    /** One answer that hung for a minute makes its endpoint look unusable. */
    @Test
    void limitsEffectOfOneAnswer() {
        long now = record(0, 10 * SECOND, 200 * MS, 1);
        endpoint.record(60_000, 10, 1, now);
        assertThat(endpoint.factor(now)).isLessThan(2);
    }

    /** An endpoint rejects most requests and answers the others fast: it looks fast and gets even more. */
    @Test
    void rejectionsCount() {
        for (long t = 0; t < 5 * SECOND; t += 100 * MS) {
            endpoint.record(50, 100, 1, t);
            endpoint.onRejected(t);
            endpoint.onRejected(t);
        }
        assertThat(endpoint.factor(5 * SECOND)).isGreaterThan(1.8);
    }

    /** A quiet router uses what others know; a busy one must not let them replace its own newer values. */
    @Test
    void ownAnswersDisplaceOthers() {
        endpoint.setOthers(new Evidence(2, 10, SECOND));
        assertThat(endpoint.factor(SECOND)).isGreaterThan(1.5);
        long now = record(SECOND, 11 * SECOND, 200 * MS, 0.5);
        endpoint.setOthers(new Evidence(2, 10, now));
        assertThat(endpoint.factor(now)).isLessThan(0.6);
    }

    /** A report overtakes a later one, or repeats what an endpoint did before its new incarnation. */
    @Test
    void ignoresOldValuesOfOthers() {
        EndpointPerformance restarted = new EndpointPerformance(10 * SECOND);
        restarted.setOthers(new Evidence(4, 10, 9 * SECOND));
        assertThat(restarted.factor(10 * SECOND)).isEqualTo(1);
        restarted.setOthers(new Evidence(2, 10, 12 * SECOND));
        double known = restarted.factor(12 * SECOND);
        restarted.setOthers(new Evidence(8, 10, 11 * SECOND));
        assertThat(restarted.factor(12 * SECOND)).isEqualTo(known);
    }

    /** A report with impossible values changes the placement of all requests. */
    @Test
    void ignoresImpossibleValues() {
        for (double bad : new double[] {Double.NaN, Double.POSITIVE_INFINITY, 0, -1, 1e9}) {
            endpoint.setOthers(new Evidence(bad, 10, SECOND));
            endpoint.addReport(new Evidence(bad, 10, SECOND), SECOND);
        }
        endpoint.setOthers(new Evidence(2, Double.NaN, SECOND));
        endpoint.setOthers(new Evidence(2, -1, SECOND));
        assertThat(endpoint.factor(SECOND)).isEqualTo(1);
        assertThat(endpoint.pooled(SECOND)).isEmpty();
    }

    /** Each answer is counted once, although reports are sent again and again. */
    @Test
    void reportsEachAnswerOnce() {
        record(0, SECOND, 100 * MS, 2);
        Evidence first = endpoint.takeUnreported().orElseThrow();
        assertThat(first.weight()).isWithin(1e-9).of(10);
        assertThat(first.factor()).isWithin(1e-9).of(2);
        assertThat(endpoint.takeUnreported()).isEmpty();
    }

    /** The hub combines the reports of several routers by the number of their answers. */
    @Test
    void combinesReports() {
        endpoint.addReport(new Evidence(4, 1, SECOND), SECOND);
        endpoint.addReport(new Evidence(1, 3, SECOND), SECOND);
        Evidence pooled = endpoint.pooled(SECOND).orElseThrow();
        assertThat(pooled.factor()).isWithin(1e-9).of(Math.sqrt(2));
        assertThat(pooled.weight()).isWithin(1e-9).of(4);
    }

    /** A factor that varies around a threshold fills the log. */
    @Test
    void reportsLargeChangeOnceInSomeSeconds() {
        long now = record(0, 5 * SECOND, 100 * MS, 3);
        assertThat(endpoint.hasChangedMuch(now)).isTrue();
        assertThat(endpoint.hasChangedMuch(now)).isFalse();
        now = record(now, now + SECOND, 20 * MS, 0.2);
        assertThat(endpoint.hasChangedMuch(now)).isFalse();
        now = record(now, now + 10 * SECOND, 20 * MS, 0.2);
        assertThat(endpoint.hasChangedMuch(now)).isTrue();
    }

    private long record(long from, long to, long interval, double ratio) {
        for (long t = from; t < to; t += interval) {
            endpoint.record(100 * ratio, 100, 1, t);
        }
        return to;
    }
}
