package org.ragwortrun.routing;

import static com.google.common.truth.Truth.assertThat;

import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.junit.jupiter.api.Test;

final class OriginPerformanceTest {
    private static final long MS = 1_000_000L;
    private static final int ENDPOINTS = 4;

    private final OriginPerformance origin = new OriginPerformance();
    private final EndpointPerformance[] endpoints = new EndpointPerformance[ENDPOINTS];
    private final UniformRandomProvider random = RandomSource.XO_RO_SHI_RO_128_PP.create(7);

    OriginPerformanceTest() {
        for (int i = 0; i < ENDPOINTS; i++) {
            endpoints[i] = new EndpointPerformance(0);
        }
    }

    /** Prompts are read at 110 tokens per ms instead of the 44 that are assumed: long prompts are overestimated. */
    @Test
    void learnsRateOfReading() {
        play(0, 2_000, 1);
        assertThat(origin.tokensPerMs()).isWithin(20).of(110);
        assertThat(origin.predictMs(9_000)).isWithin(15).of(20 + 9_000 / 110.0);
    }

    /** Endpoints of speeds 0.55 and 1.2 with prompts of any length: long prompts look like slow endpoints. */
    @Test
    void learnsSpeedsOfEndpoints() {
        long now = play(0, 2_000, 1);
        double slow = endpoints[0].factor(now);
        for (int i = 1; i < ENDPOINTS; i++) {
            assertThat(slow / endpoints[i].factor(now)).isWithin(0.5).of(1.2 / 0.55);
        }
    }

    /** Load of other routers delays all answers by the same: all endpoints look slow, or one that was used then. */
    @Test
    void commonLoadCancelsOut() {
        long now = play(0, 2_000, 1);
        double before = endpoints[1].factor(now);
        now = play(now, 2_000, 3);
        assertThat(endpoints[1].factor(now)).isWithin(0.15).of(before);
    }

    /** A plain service: the first answers of a new router set the mean. */
    @Test
    void learnsDurationsOfPlainServices() {
        for (int i = 0; i < 200; i++) {
            origin.onAnswer(endpoints[i % 2], 0, (i % 2 == 0 ? 80 : 40) * MS, i * 20 * MS);
        }
        long now = 4_000 * MS;
        assertThat(origin.predictMs(0)).isWithin(3).of(60);
        assertThat(endpoints[0].factor(now) / endpoints[1].factor(now)).isGreaterThan(1.7);
    }

    /** Streams and other answers of one origin: a whole answer that is awaited looks late beside first events. */
    @Test
    void expectsToWaitForWholeAnswers() {
        long now = play(0, 400, 1);
        double first = origin.predictWaitMs(1_000);
        assertThat(first).isEqualTo(origin.predictMs(1_000));
        for (int i = 0; i < 100; i++) {
            origin.onAnswer(endpoints[i % ENDPOINTS], 1_000, 2_000 * MS, now);
        }
        assertThat(origin.predictMs(1_000)).isEqualTo(first);
        assertThat(origin.predictWaitMs(1_000)).isWithin(200).of(2_000);
    }

    /** Streams that begin in time but continue slowly. */
    @Test
    void learnsFromGaps() {
        for (int i = 0; i < 200; i++) {
            origin.onGap(endpoints[i % 2], (i % 2 == 0 ? 20 : 5) * MS, i * 20 * MS);
        }
        assertThat(endpoints[0].factor(4_000 * MS)).isGreaterThan(1.3 * endpoints[1].factor(4_000 * MS));
    }

    /** A router without answers of its own uses the mean of others, but not impossible values. */
    @Test
    void usesMeanOfOthersUntilItHasAnswers() {
        origin.setPrior(200, 100);
        assertThat(origin.predictMs(1_000)).isWithin(1).of(210);
        origin.setPrior(Double.NaN, 100);
        origin.setPrior(200, 0);
        origin.setPrior(-1, 100);
        assertThat(origin.predictMs(1_000)).isWithin(1).of(210);
        long now = play(0, 400, 1);
        double own = origin.predictMs(1_000);
        origin.setPrior(1_000, 100);
        assertThat(origin.predictMs(1_000)).isWithin(0.2 * own + 10).of(own);
        assertThat(now).isGreaterThan(0);
    }

    /** Plays answers of endpoints with speeds 0.55 and 1.2 that read 110 tokens per ms in the mean. */
    private long play(long from, int answers, double load) {
        long now = from;
        for (int i = 0; i < answers; i++) {
            now += 10 * MS;
            double tokens = 200 + 9_000 * random.nextDouble();
            int e = random.nextInt(ENDPOINTS);
            double speed = (e == 0 ? 0.55 : 1.2) / 0.95;
            double ms = load * (20 + tokens / 110) / speed * (0.7 + 0.6 * random.nextDouble());
            origin.onFirstEvent(endpoints[e], tokens, (long) (ms * MS), now);
        }
        return now;
    }
}
