package org.ragwortrun.routing;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;

final class WarmUpTest {
    private static final long SECOND = 1_000_000_000L;

    private final WarmUp warmUp = new WarmUp();

    WarmUpTest() {
        warmUp.setBounds(12, 3 * SECOND);
    }

    /** Guards against an endpoint that stays limited, or is freed by a list that was read before it became cold. */
    @Test
    void newerListEndsSign() {
        warmUp.onSign(WarmUp.Sign.POSSIBLE, 10 * SECOND);
        warmUp.onListed(0, 11 * SECOND, 11 * SECOND);
        assertThat(warmUp.isCold(11 * SECOND)).isTrue();
        warmUp.onListed(0, 11 * SECOND + SECOND / 2, 12 * SECOND);
        assertThat(warmUp.isCold(12 * SECOND)).isFalse();
    }

    @Test
    void signEndsAfterWarmUpWithoutList() {
        warmUp.onSign(WarmUp.Sign.STARTED, 10 * SECOND);
        assertThat(warmUp.isCold(13 * SECOND - 1)).isTrue();
        assertThat(warmUp.isCold(13 * SECOND)).isFalse();
    }

    /** Guards against an endpoint that counts as warm because the list still shows it as before it went down. */
    @Test
    void endpointThatIsDownStaysColdUntilWarmUpAfterFirstAnswer() {
        warmUp.onSign(WarmUp.Sign.DOWN, 10 * SECOND);
        warmUp.onListed(0, 12 * SECOND, 12 * SECOND);
        assertThat(warmUp.isCold(15 * SECOND)).isTrue();
        warmUp.onAnswer(9 * SECOND, 15 * SECOND);
        assertThat(warmUp.isCold(19 * SECOND)).isTrue();
        warmUp.onAnswer(19 * SECOND, 20 * SECOND);
        assertThat(warmUp.isCold(22 * SECOND)).isTrue();
        assertThat(warmUp.isCold(23 * SECOND)).isFalse();
    }

    /** Guards against a list that is read soon after the start, still shows the endpoint as before, and ends the warm-up. */
    @Test
    void listDoesNotEndWarmUpThatOthersReport() {
        warmUp.onReported(3_000, SECOND);
        warmUp.onListed(0, 3 * SECOND, 3 * SECOND);
        assertThat(warmUp.isCold(3 * SECOND)).isTrue();
        assertThat(warmUp.isCold(4 * SECOND)).isFalse();
    }

    /** Guards against routers that confirm each other's reports, so that the warm-up never ends. */
    @Test
    void doesNotRepeatReportsOfOthers() {
        warmUp.onReported(3_000, SECOND);
        assertThat(warmUp.isCold(2 * SECOND)).isTrue();
        assertThat(warmUp.ownColdMs(2 * SECOND)).isEqualTo(0);
        warmUp.onListed(1_500, 2 * SECOND, 2 * SECOND);
        assertThat(warmUp.ownColdMs(2 * SECOND)).isEqualTo(1_500);
    }

    /** Guards against an evacuation that counts as ended again with each request. */
    @Test
    void endOfEvacuationCountsOnce() {
        warmUp.onEvacuationEnded(10 * SECOND, 11 * SECOND);
        assertThat(warmUp.isCold(11 * SECOND)).isTrue();
        warmUp.onListed(0, 12 * SECOND + SECOND / 2, 12 * SECOND + SECOND / 2);
        warmUp.onEvacuationEnded(10 * SECOND, 12 * SECOND + SECOND / 2);
        assertThat(warmUp.isCold(12 * SECOND + SECOND / 2)).isFalse();
        warmUp.onEvacuationEnded(20 * SECOND, 23 * SECOND);
        assertThat(warmUp.isCold(23 * SECOND)).isFalse();
    }

    @Test
    void serviceWithoutRateHasNoColdEndpoint() {
        WarmUp unlimited = new WarmUp();
        unlimited.onSign(WarmUp.Sign.DOWN, SECOND);
        unlimited.onListed(3_000, SECOND, SECOND);
        assertThat(unlimited.isCold(SECOND)).isFalse();
    }
}
