package org.ragwortrun.router.internal.forward;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.ragwortrun.core.config.Forward;

/** Checks which requests are accepted at which time before the end of a shutdown. */
final class ShutdownAdmissionTest {
    private static final Duration TIMEOUT = Duration.ofSeconds(15);

    private final ShutdownAdmission admission = new ShutdownAdmission();

    @Test
    void acceptsShortRequestsLongerThanStreams() {
        recordAnswered("order", 90, 20);
        recordAnswered("guide", 2_000, 20);
        assertThat(accepts("order", 500)).isTrue();
        assertThat(accepts("guide", 3_400)).isTrue();
        assertThat(accepts("guide", 3_200)).isFalse();
        assertThat(accepts("order", 400)).isFalse();
    }

    /** Guards against accepting streams that will be aborted, because most requests on their route are short. */
    @Test
    void usesSlowestRecentRequest() {
        recordAnswered("guide", 100, 40);
        recordAnswered("guide", 3_000, 1);
        recordAnswered("guide", 100, 20);
        assertThat(accepts("guide", 4_000)).isFalse();
        recordAnswered("guide", 100, 64);
        assertThat(accepts("guide", 500)).isTrue();
    }

    @Test
    void requiresWholeTimeoutWithoutRecentRequests() {
        recordAnswered("draft", 100, 3);
        assertThat(accepts("draft", 15_000)).isFalse();
        assertThat(accepts("draft", 15_300)).isTrue();
        assertThat(accepts("other", 15_000)).isFalse();
    }

    /** Guards against orders and streams that are cut off because they take longer than those before them. */
    @Test
    void requiresWholeTimeLimitUnlessRequestMayBeRepeated() {
        recordAnswered("order", 90, 20);
        for (Forward.Kind kind : List.of(Forward.Kind.ONCE, Forward.Kind.STREAM)) {
            assertThat(accepts("order", kind, Duration.ofMillis(600), 800)).isFalse();
            assertThat(accepts("order", kind, Duration.ofMillis(600), 900)).isTrue();
        }
        assertThat(accepts("order", Forward.Kind.IDEMPOTENT, Duration.ofMillis(600), 800))
                .isTrue();
    }

    private void recordAnswered(String route, long ms, int times) {
        for (int i = 0; i < times; i++) {
            admission.onAnswered(route, Duration.ofMillis(ms).toNanos());
        }
    }

    private boolean accepts(String route, long remainingMs) {
        return accepts(route, Forward.Kind.IDEMPOTENT, TIMEOUT, remainingMs);
    }

    private boolean accepts(String route, Forward.Kind kind, Duration timeLimit, long remainingMs) {
        Forward forward = new Forward(
                route, "h", "/", kind, false, TIMEOUT, TIMEOUT, TIMEOUT, 0, Map.of(), 1, false, false, Set.of());
        return admission.accepts(
                forward, timeLimit, Duration.ofMillis(remainingMs).toNanos());
    }
}
