package org.ragwortrun.control;

import static com.google.common.truth.Truth.assertThat;

import java.time.Instant;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicReference;
import org.junit.jupiter.api.Test;
import org.ragwortrun.core.config.Configuration;
import org.ragwortrun.core.config.ConfigurationException;
import org.ragwortrun.proto.EvidenceRow;
import org.ragwortrun.proto.MetaCommand;
import org.ragwortrun.proto.MoveProgress;
import org.ragwortrun.proto.MoveState;
import org.ragwortrun.proto.Section;
import org.ragwortrun.proto.VersionDecision;
import org.ragwortrun.routing.version.MoveDecision;
import org.ragwortrun.routing.version.VersionMove;

final class EvidenceMoveDriverTest {
    private static final Instant START = Instant.parse("2026-12-04T18:00:00Z");
    private static final long NOW = START.plusSeconds(60).toEpochMilli();

    private final List<Integer> continuedAt = new ArrayList<>();
    private final AtomicReference<MoveDecision> next =
            new AtomicReference<>(new MoveDecision(MoveState.MOVE_RUNNING, 50, "trial"));
    private final EvidenceMoveDriver driver = new EvidenceMoveDriver((move, share, now) -> {
        continuedAt.add(share);
        return new VersionMove() {
            @Override
            public void observe(Collection<EvidenceRow> rows) {}

            @Override
            public MoveDecision decide(long nowMillis) {
                return next.get();
            }
        };
    });

    /** Guards against a number that rises each second because unchanged progress is recorded again. */
    @Test
    void recordsChangesOnly() throws ConfigurationException {
        assertThat(driver.decide(configuration(List.of(), List.of()), START.toEpochMilli() - 1))
                .isEmpty();
        List<MetaCommand.Builder> first = driver.decide(configuration(List.of(), List.of()), NOW);
        MoveProgress progress = first.get(0).getMoveProgress();
        assertThat(progress.getSharePermille()).isEqualTo(50);
        assertThat(driver.decide(configuration(List.of(progress), List.of()), NOW + 1_000))
                .isEmpty();
    }

    /** Guards against a bad version that gets traffic again, also from a new leader without evidence. */
    @Test
    void blocksAVersionThatIsTakenBack() throws ConfigurationException {
        next.set(new MoveDecision(MoveState.MOVE_TAKEN_BACK, 0, "fails"));
        List<MetaCommand.Builder> commands = driver.decide(configuration(List.of(), List.of()), NOW);
        VersionDecision verdict = commands.get(0).getVersionDecision();
        assertThat(verdict.getVersion()).isEqualTo("v2");
        assertThat(verdict.getBlocked()).isTrue();
        assertThat(commands.get(1).getMoveProgress().getState()).isEqualTo(MoveState.MOVE_TAKEN_BACK);
        next.set(new MoveDecision(MoveState.MOVE_RUNNING, 50, "trial"));
        driver.reset();
        List<MetaCommand.Builder> later = driver.decide(configuration(List.of(), List.of(verdict)), NOW);
        assertThat(later.get(1).getMoveProgress().getSharePermille()).isEqualTo(0);
    }

    /** Guards against a move that starts again from nothing after a change of leader. */
    @Test
    void continuesAtTheShareInForce() throws ConfigurationException {
        MoveProgress progress = MoveProgress.newBuilder()
                .setMove("m")
                .setState(MoveState.MOVE_RUNNING)
                .setSharePermille(400)
                .build();
        driver.decide(configuration(List.of(progress), List.of()), NOW);
        assertThat(continuedAt).containsExactly(400);
    }

    private static Configuration configuration(List<MoveProgress> moves, List<VersionDecision> decisions)
            throws ConfigurationException {
        Section move = Section.newBuilder()
                .setKind("move")
                .setName("m")
                .putAllProperties(Map.of(
                        "service", "s",
                        "from", "v1",
                        "to", "v2",
                        "start", START.toString(),
                        "finish", START.plusSeconds(3_600).toString()))
                .build();
        return Configuration.of(1, List.of(move), moves, decisions);
    }
}
