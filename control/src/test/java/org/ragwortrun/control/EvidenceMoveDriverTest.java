package org.ragwortrun.control;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.ragwortrun.core.config.Configuration;
import org.ragwortrun.core.config.ConfigurationException;
import org.ragwortrun.proto.Evidence;
import org.ragwortrun.proto.EvidenceRow;
import org.ragwortrun.proto.Hello;
import org.ragwortrun.proto.MetaCommand;
import org.ragwortrun.proto.MoveProgress;
import org.ragwortrun.proto.MoveState;
import org.ragwortrun.proto.Section;

final class EvidenceMoveDriverTest {
    private static final long START = 1_767_225_600_000L;

    private final EvidenceMoveDriver driver = new EvidenceMoveDriver();

    /** Guards against a failing version that is not blocked, so that a restart or new leader would move to it again. */
    @Test
    void blocksFailingVersion() throws ConfigurationException {
        Optional<MoveProgress> progress = Optional.empty();
        boolean blocked = false;
        for (int s = 0; s < 120 && !blocked; s++) {
            Configuration configuration = configuration(progress);
            for (MetaCommand.Builder c : driver.decide(configuration, START + s * 1000L)) {
                blocked |= c.getVersionDecision().getBlocked();
                progress = c.hasMoveProgress() ? Optional.of(c.getMoveProgress()) : progress;
            }
            driver.onEvidence(Hello.getDefaultInstance(), evidence(progress));
        }
        assertThat(blocked).isTrue();
        assertThat(progress.map(MoveProgress::getState)).isEqualTo(Optional.of(MoveState.MOVE_TAKEN_BACK));
    }

    /** Guards against a new leader that lowers the share of a running move because it has no evidence yet. */
    @Test
    void continuesAtShareInForce() throws ConfigurationException {
        MoveProgress half = MoveProgress.newBuilder()
                .setMove("m")
                .setSharePermille(500)
                .setState(MoveState.MOVE_RUNNING)
                .build();
        assertThat(driver.decide(configuration(Optional.of(half)), START + 60_000))
                .isEmpty();
    }

    /** Guards against rolling back a completed move, whose old version may have been shut down. */
    @Test
    void leavesCompletedMove() throws ConfigurationException {
        MoveProgress done = MoveProgress.newBuilder()
                .setMove("m")
                .setSharePermille(1000)
                .setState(MoveState.MOVE_DONE)
                .build();
        for (int s = 0; s < 120; s++) {
            assertThat(driver.decide(configuration(Optional.of(done)), START + s * 1000L))
                    .isEmpty();
            driver.onEvidence(
                    Hello.getDefaultInstance(),
                    Evidence.newBuilder()
                            .addRows(row("v2", 100, s < 60 ? 0 : 40))
                            .build());
        }
    }

    private static Evidence evidence(Optional<MoveProgress> progress) {
        long newer = progress.map(p -> p.getSharePermille() / 10L).orElse(0L);
        return Evidence.newBuilder()
                .addRows(row("v1", 100 - newer, 0))
                .addRows(row("v2", newer, newer))
                .build();
    }

    private static EvidenceRow row(String version, long requests, long failures) {
        return EvidenceRow.newBuilder()
                .setService("s")
                .setVersion(version)
                .setRoute("r")
                .setRequests(requests)
                .setFailures(failures)
                .build();
    }

    private static Configuration configuration(Optional<MoveProgress> progress) throws ConfigurationException {
        Section move = Section.newBuilder()
                .setKind("move")
                .setName("m")
                .putProperties("service", "s")
                .putProperties("from", "v1")
                .putProperties("to", "v2")
                .putProperties("trial-share", "5%")
                .putProperties("start", "2026-01-01T00:00:00Z")
                .putProperties("finish", "2026-01-01T01:00:00Z")
                .build();
        return Configuration.of(1, List.of(move), progress.map(List::of).orElse(List.of()), List.of());
    }
}
