package org.ragwortrun.router.internal.forward;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;

final class EndpointHealthTest {
    private static final long SECOND = 1_000_000_000L;

    private final EndpointHealth health = new EndpointHealth();

    /** Guards against an endpoint that is left out for good because the request that tried it was turned away. */
    @Test
    void aTrialWithoutAVerdictIsFollowedByAnother() {
        health.onUnreachable(0);
        assertThat(health.onSent(SECOND)).isTrue();
        assertThat(health.isUsable(SECOND)).isFalse();
        health.onTrialEnded();
        assertThat(health.isUsable(SECOND)).isTrue();
        assertThat(health.isOut()).isTrue();
    }

    @Test
    void anUnreachableEndpointIsLeftOutAtOnceAndTriedAgain() {
        health.onUnreachable(0);
        assertThat(health.isUsable(SECOND / 10)).isFalse();
        assertThat(health.isUsable(SECOND)).isTrue();
        health.onSent(SECOND);
        assertThat(health.isUsable(SECOND)).isFalse();
        health.onSuccess();
        assertThat(health.isUsable(SECOND)).isTrue();
    }

    /** Load: an endpoint that fails two of five requests while its health check passes. */
    @Test
    void anEndpointThatFailsAPartOfItsRequestsIsLeftOut() {
        for (int i = 0; i < 40 && !health.isOut(); i++) {
            if (i % 5 < 2) {
                health.onFailure(0);
            } else {
                health.onSuccess();
            }
        }
        assertThat(health.isOut()).isTrue();
    }

    /** Load: single failures, as a request that crashes endpoints or a lost answer leaves them. */
    @Test
    void oneFailureInTenLeavesItIn() {
        for (int i = 0; i < 100; i++) {
            if (i % 10 == 0) {
                health.onFailure(0);
            } else {
                health.onSuccess();
            }
            assertThat(health.isOut()).isFalse();
        }
    }

    @Test
    void thePauseGrowsWhileTheEndpointStaysAway() {
        long now = 0;
        for (int i = 0; i < 10; i++) {
            health.onUnreachable(now);
            now += 10 * SECOND;
        }
        assertThat(health.isUsable(now - 8 * SECOND)).isFalse();
        assertThat(health.isUsable(now - 6 * SECOND)).isTrue();
    }
}
