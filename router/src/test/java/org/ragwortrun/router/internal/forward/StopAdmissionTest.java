package org.ragwortrun.router.internal.forward;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import org.junit.jupiter.api.Test;

/** Which requests are taken at what time of a stop. */
final class StopAdmissionTest {
    private static final Duration TIMEOUT = Duration.ofSeconds(15);

    private final StopAdmission admission = new StopAdmission();

    @Test
    void shortRequestsAreTakenLongerThanStreams() {
        answered("order", 90, 20);
        answered("guide", 2_000, 20);
        assertThat(takes("order", 500)).isTrue();
        assertThat(takes("guide", 3_400)).isTrue();
        assertThat(takes("guide", 3_200)).isFalse();
        assertThat(takes("order", 400)).isFalse();
    }

    /** Guards against streams that are cut off because most of their route are short. */
    @Test
    void theSlowestOfTheLastRequestsCounts() {
        answered("guide", 100, 40);
        answered("guide", 3_000, 1);
        answered("guide", 100, 20);
        assertThat(takes("guide", 4_000)).isFalse();
        answered("guide", 100, 64);
        assertThat(takes("guide", 500)).isTrue();
    }

    @Test
    void aRouteWithoutRequestsNeedsItsWholeTime() {
        answered("draft", 100, 3);
        assertThat(takes("draft", 15_000)).isFalse();
        assertThat(takes("draft", 15_300)).isTrue();
        assertThat(takes("other", 15_000)).isFalse();
    }

    private void answered(String route, long ms, int times) {
        for (int i = 0; i < times; i++) {
            admission.answered(route, Duration.ofMillis(ms).toNanos());
        }
    }

    private boolean takes(String route, long leftMs) {
        return admission.takes(route, TIMEOUT, Duration.ofMillis(leftMs).toNanos());
    }
}
