package org.ragwortrun.router.internal.forward;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.ragwortrun.core.config.Forward;
import org.ragwortrun.core.config.Origin;

final class AdmittedTest {
    private static final Duration SECOND = Duration.ofSeconds(1);

    /** Guards against requests that are sent by an old configuration without a line, and against a line for all others. */
    @Test
    void logsRequestsOfOlderConfigurationsOnly() {
        Forward route = new Forward(
                "r",
                "h",
                "/",
                Forward.Kind.ONCE,
                false,
                SECOND,
                SECOND,
                SECOND,
                0,
                Map.of(),
                1,
                false,
                false,
                Set.of());
        Origin origin = new Origin("o", false, "/", 0, 1, 0, 1, Duration.ZERO, 0);
        Admitted admitted = new Admitted(route, origin, Optional.empty(), 2, OptionalLong.empty(), 0);
        assertThat(admitted.logIfOutdated(2, "q", "e")).isFalse();
        assertThat(admitted.logIfOutdated(1, "q", "e")).isFalse();
        assertThat(admitted.logIfOutdated(3, "q", "e")).isTrue();
    }
}
