package org.ragwortrun.router.internal.forward;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;

final class EndpointHealthTest {
    private static final long SECOND = 1_000_000_000L;

    private final EndpointHealth health = new EndpointHealth();

    /** Guards against excluding an endpoint for good because its probe request was refused. */
    @Test
    void allowsNewProbeAfterProbeWithoutResult() {
        health.onUnreachable(0);
        assertThat(health.onSent(SECOND)).isTrue();
        assertThat(health.isUsable(SECOND)).isFalse();
        health.onProbeEnded();
        assertThat(health.isUsable(SECOND)).isTrue();
        assertThat(health.isExcluded()).isTrue();
    }

    @Test
    void excludesUnreachableEndpointAtOnceAndProbesIt() {
        health.onUnreachable(0);
        assertThat(health.isUsable(SECOND / 10)).isFalse();
        assertThat(health.isUsable(SECOND)).isTrue();
        health.onSent(SECOND);
        assertThat(health.isUsable(SECOND)).isFalse();
        health.onSuccess();
        assertThat(health.isUsable(SECOND)).isTrue();
    }

    /** The failing endpoint would still pass its health check. */
    @Test
    void excludesEndpointThatFailsTwoOfFiveRequests() {
        for (int i = 0; i < 40 && !health.isExcluded(); i++) {
            if (i % 5 < 2) {
                health.onFailure(0);
            } else {
                health.onSuccess();
            }
        }
        assertThat(health.isExcluded()).isTrue();
    }

    /** Single failures occur when a request crashes endpoints or an answer is lost. */
    @Test
    void keepsEndpointThatFailsOneOfTenRequests() {
        for (int i = 0; i < 100; i++) {
            if (i % 10 == 0) {
                health.onFailure(0);
            } else {
                health.onSuccess();
            }
            assertThat(health.isExcluded()).isFalse();
        }
    }

    @Test
    void backoffGrowsWhileEndpointStaysUnreachable() {
        long now = 0;
        for (int i = 0; i < 10; i++) {
            health.onUnreachable(now);
            now += 10 * SECOND;
        }
        assertThat(health.isUsable(now - 8 * SECOND)).isFalse();
        assertThat(health.isUsable(now - 6 * SECOND)).isTrue();
    }
}
