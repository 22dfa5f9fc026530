package org.ragwortrun.routing;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.ragwortrun.core.config.Configuration;
import org.ragwortrun.core.config.Service;
import org.ragwortrun.proto.MoveProgress;
import org.ragwortrun.proto.MoveState;
import org.ragwortrun.proto.Section;
import org.ragwortrun.proto.VersionDecision;

final class VersionPickerTest {
    private static final int REQUESTS = 20_000;

    private final VersionPicker picker = new VersionPicker();

    /** Guards against a version on trial that receives more than its share. */
    @Test
    void eachVersionReceivesItsShare() throws Exception {
        assertThat((double) countNewVersionPicks(configuration(50, false)) / REQUESTS)
                .isWithin(0.01)
                .of(0.05);
    }

    /** Guards against requests for a version that has been rolled back. */
    @Test
    void blockedVersionReceivesNothing() throws Exception {
        assertThat(countNewVersionPicks(configuration(900, true))).isEqualTo(0);
    }

    private long countNewVersionPicks(Configuration c) {
        Service service = c.service("s").orElseThrow();
        return IntStream.range(0, REQUESTS)
                .filter(i -> picker.pick(c, service, "r1@abc-" + i).equals(Optional.of("v2")))
                .count();
    }

    private static Configuration configuration(int share, boolean blocked) throws Exception {
        Section service = section("service", "s", Map.of("kind", "model", "model", "m", "version", "v1"));
        Section move = section(
                "move",
                "m",
                Map.of(
                        "service", "s",
                        "from", "v1",
                        "to", "v2",
                        "start", "2026-12-04T18:00:00Z",
                        "finish", "2026-12-04T20:00:00Z"));
        MoveProgress progress = MoveProgress.newBuilder()
                .setMove("m")
                .setSharePermille(share)
                .setState(MoveState.MOVE_RUNNING)
                .build();
        VersionDecision decision = VersionDecision.newBuilder()
                .setService("s")
                .setVersion("v2")
                .setBlocked(blocked)
                .build();
        return Configuration.of(1, List.of(service, move), List.of(progress), List.of(decision));
    }

    private static Section section(String kind, String name, Map<String, String> properties) {
        return Section.newBuilder()
                .setKind(kind)
                .setName(name)
                .putAllProperties(properties)
                .build();
    }
}
