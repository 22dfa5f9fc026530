package org.ragwortrun.routing;

import static com.google.common.truth.Truth.assertThat;

import com.google.common.collect.Range;
import org.junit.jupiter.api.Test;

final class EndpointRampTest {
    private static final long MS = 1_000_000;
    private static final long SECOND = 1_000 * MS;
    private static final AnswerCounts GOOD = new AnswerCounts(1, 0);
    private static final AnswerCounts BAD = new AnswerCounts(0, 1);
    private static final RampReport FOLLOWS = new RampReport(2, 0, 0);

    private final EndpointRamp ramp = new EndpointRamp();
    private long now = SECOND;

    /** Guards against a ramp that takes longer than two seconds although the endpoint answers well. */
    @Test
    void doublesUntilItEnds() {
        ramp.onReport(FOLLOWS, BAD, now);
        assertThat(ramp.perSecond(now)).isEqualTo(0);
        now += 500 * MS;
        assertThat(ramp.perSecond(now)).isEqualTo(2);
        while (ramp.isInForce(now)) {
            answer(GOOD, 1);
        }
        assertThat(now).isAtMost(3 * SECOND + 500 * MS);
    }

    /** Guards against a rate that grows with time only, while nobody knows whether the endpoint answers. */
    @Test
    void keepsRateWithoutAnswers() {
        ramp.onReport(FOLLOWS, AnswerCounts.NONE, now);
        answer(AnswerCounts.NONE, 50);
        assertThat(ramp.perSecond(now)).isEqualTo(2);
        assertThat(ramp.isInForce(now)).isTrue();
    }

    /** Some answers are errors of the request, not of the endpoint. */
    @Test
    void growsWhileOneAnswerInSevenIsBad() {
        ramp.onReport(FOLLOWS, AnswerCounts.NONE, now);
        answer(new AnswerCounts(6, 1), 30);
        assertThat(ramp.isInForce(now)).isFalse();
    }

    /** Guards against an endpoint that gets its usual rate again although it does not answer well at a lower one. */
    @Test
    void halvesAndThenGrowsMoreSlowly() {
        ramp.onReport(FOLLOWS, AnswerCounts.NONE, now);
        while (ramp.perSecond(now) < 16) {
            answer(GOOD, 1);
        }
        answer(BAD, 1);
        assertThat(ramp.perSecond(now)).isEqualTo(8);
        answer(GOOD, 4);
        assertThat(ramp.perSecond(now)).isEqualTo(8);
        answer(GOOD, 1);
        assertThat(ramp.perSecond(now)).isEqualTo(16);
        answer(BAD, 1);
        assertThat(ramp.perSecond(now)).isEqualTo(8);
        answer(GOOD, 9);
        assertThat(ramp.perSecond(now)).isEqualTo(8);
        answer(GOOD, 1);
        assertThat(ramp.perSecond(now)).isEqualTo(16);
    }

    @Test
    void neverExceedsWarmUpRateWhileCold() {
        ramp.onReport(new RampReport(2, 12, 3_000), AnswerCounts.NONE, now);
        assertThat(ramp.perSecond(now)).isEqualTo(6);
        answer(GOOD, 29);
        assertThat(ramp.isCold(now)).isTrue();
        assertThat(ramp.perSecond(now)).isEqualTo(12);
        answer(GOOD, 20);
        assertThat(ramp.isInForce(now)).isFalse();
    }

    /** Guards against routers that have not heard of the end of a ramp and begin it again. */
    @Test
    void routerThatStillFollowsDoesNotBeginEndedRamp() {
        ramp.onReport(FOLLOWS, AnswerCounts.NONE, now);
        answer(GOOD, 40);
        ramp.onReport(FOLLOWS, GOOD, now);
        assertThat(ramp.isInForce(now)).isFalse();
        ramp.onReport(FOLLOWS, BAD, now);
        assertThat(ramp.isInForce(now)).isTrue();
    }

    /** Guards against an endpoint that is used again at once each time it fails, and against a pause without end. */
    @Test
    void flappingDoublesPauseAndIntervalUpToLimit() {
        long longest = 0;
        long before = 0;
        long longestRamp = 0;
        for (int i = 0; i < 8; i++) {
            ramp.onReport(FOLLOWS, BAD, now);
            long pause = ramp.pauseLeftNanos(now);
            assertThat(pause).isAtLeast(before);
            before = pause;
            longest = Math.max(longest, pause);
            now += pause;
            long begun = now;
            while (ramp.isInForce(now)) {
                answer(GOOD, 1);
            }
            longestRamp = Math.max(longestRamp, now - begun);
        }
        assertThat(longest).isEqualTo(6_400 * MS);
        assertThat(longestRamp).isIn(Range.closed(12 * SECOND, 20 * SECOND));
        now += 40 * SECOND;
        ramp.onReport(FOLLOWS, BAD, now);
        assertThat(ramp.pauseLeftNanos(now)).isEqualTo(400 * MS);
    }

    /** Reports the same answers several times, each 100 ms after the one before. */
    private void answer(AnswerCounts answers, int times) {
        for (int i = 0; i < times; i++) {
            now += 100 * MS;
            ramp.onReport(FOLLOWS, answers, now);
        }
    }
}
