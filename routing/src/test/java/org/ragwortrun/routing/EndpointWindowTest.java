package org.ragwortrun.routing;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;

final class EndpointWindowTest {
    private static final long MS = 1_000_000;

    private final EndpointWindow window = new EndpointWindow();

    /** Guards against a bound on endpoints that never rejected a request. */
    @Test
    void isUnboundedBeforeFirstRejection() {
        assertThat(window.hasRoom(10_000, 0)).isTrue();
    }

    /** Guards against requests that are sent only to be rejected. */
    @Test
    void rejectionReducesRequestsInFlight() {
        window.onRejected(20, 0, 50 * MS);
        assertThat(window.hasRoom(0, 55 * MS)).isFalse();
        assertThat(window.hasRoom(10, 70 * MS)).isTrue();
        assertThat(window.hasRoom(16, 70 * MS)).isFalse();
    }

    /** Guards against a bound that collapses when one burst is rejected as a whole. */
    @Test
    void oneBurstCountsOnce() {
        for (int i = 0; i < 10; i++) {
            window.onRejected(20 - i, i * MS, 50 * MS + i);
        }
        assertThat(window.hasRoom(12, 100 * MS)).isTrue();
    }

    /** Guards against an endpoint that gets nothing more, and against one that is filled at once. */
    @Test
    void answersOpenItAgainOneAtATime() {
        for (int i = 0; i < 20; i++) {
            window.onRejected(4, i * 100 * MS, i * 100 * MS + 50 * MS);
        }
        long now = 2_200 * MS;
        assertThat(window.hasRoom(0, now)).isTrue();
        assertThat(window.hasRoom(3, now)).isFalse();
        for (int i = 0; i < 6; i++) {
            window.onAnswered(now);
        }
        assertThat(window.hasRoom(2, now)).isTrue();
        assertThat(window.hasRoom(5, now)).isFalse();
    }

    /** Guards against a full endpoint that is asked again and again without a pause. */
    @Test
    void pauseDoublesWithEachRejection() {
        window.onRejected(0, 0, 0);
        assertThat(window.isOpen(11 * MS)).isTrue();
        window.onRejected(0, 11 * MS, 12 * MS);
        assertThat(window.isOpen(30 * MS)).isFalse();
        assertThat(window.isOpen(33 * MS)).isTrue();
        window.onAnswered(34 * MS);
        window.onRejected(0, 34 * MS, 35 * MS);
        assertThat(window.isOpen(46 * MS)).isTrue();
    }
}
