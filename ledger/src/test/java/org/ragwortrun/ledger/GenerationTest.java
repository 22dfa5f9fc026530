package org.ragwortrun.ledger;

import static com.google.common.truth.Truth.assertThat;

import com.google.protobuf.ByteString;
import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.ragwortrun.proto.*;

/** Publications with a generation number that the publisher assigns. */
final class GenerationTest {
    private MetaState state = new MetaState(
            (previous, next, nowMs) -> next.stream().anyMatch(s -> s.getName().equals("bad"))
                    ? List.of(ConfigError.newBuilder().setRule("bad").build())
                    : List.of());

    @Test
    void appliesHighestGeneration() {
        assertThat(publish(7, "a").getSuperseded()).isFalse();
        PublishReply older = publish(5, "b");
        assertThat(older.getOutcome()).isEqualTo(PublishReply.Outcome.ACCEPTED);
        assertThat(older.getSuperseded()).isTrue();
        assertThat(state.configuration().getDocument().toStringUtf8()).isEqualTo("a");
    }

    /** Guards against different content under the current generation. */
    @Test
    void ignoresRepeatedGeneration() {
        publish(7, "a");
        long number = state.number();
        assertThat(publish(7, "b").getOutcome()).isEqualTo(PublishReply.Outcome.ACCEPTED);
        assertThat(state.configuration().getDocument().toStringUtf8()).isEqualTo("a");
        assertThat(state.number()).isEqualTo(number);
    }

    @Test
    void rejectsInvalidConfigurationOfAnyGeneration() {
        publish(7, "a");
        assertThat(publish(6, "bad").getOutcome()).isEqualTo(PublishReply.Outcome.INVALID);
        assertThat(publish(8, "bad").getOutcome()).isEqualTo(PublishReply.Outcome.INVALID);
        assertThat(state.configuration().getGeneration()).isEqualTo(7);
    }

    @Test
    void snapshotKeepsDocumentAndMoves() throws IOException {
        publish(7, "a");
        baseline("v1");
        assertThat(start("v2")).isEqualTo(StartMoveReply.Outcome.STARTED);
        MetaState copy = restored();
        assertThat(copy.configuration()).isEqualTo(state.configuration());
    }

    /** Guards against a move that restarts because its order was resent after a lost reply. */
    @Test
    void recognizesRepeatedMoveOrder() {
        publish(7, "a");
        baseline("v1");
        assertThat(start("v2")).isEqualTo(StartMoveReply.Outcome.STARTED);
        assertThat(start("v2")).isEqualTo(StartMoveReply.Outcome.KNOWN);
        assertThat(start("v3")).isEqualTo(StartMoveReply.Outcome.BUSY);
    }

    @Test
    void nextMoveStartsFromCompletedTarget() {
        publish(7, "a");
        baseline("v1");
        start("v2");
        state.apply(MetaCommand.newBuilder()
                .setMoveProgress(MoveProgress.newBuilder()
                        .setMove("@a/v2")
                        .setSharePermille(1000)
                        .setState(MoveState.MOVE_DONE))
                .build());
        assertThat(start("v3")).isEqualTo(StartMoveReply.Outcome.STARTED);
        assertThat(state.orderedMoves().get(2).getFrom()).isEqualTo("v2");
    }

    /** Guards against a completed move that is rolled back by a decision that was under way when it completed. */
    @Test
    void completedMoveStaysCompleted() throws IOException {
        publish(7, "a");
        baseline("v1");
        start("v2");
        decide(MoveState.MOVE_DONE);
        state = restored();
        long number = state.number();
        decide(MoveState.MOVE_TAKEN_BACK);
        block();
        assertThat(state.moves().get(0).getState()).isEqualTo(MoveState.MOVE_DONE);
        assertThat(state.decisions()).isEmpty();
        assertThat(state.number()).isEqualTo(number);
    }

    /** Guards against a move that was rolled back and completes by a decision that was under way. */
    @Test
    void rolledBackMoveStaysRolledBack() {
        publish(7, "a");
        baseline("v1");
        start("v2");
        block();
        decide(MoveState.MOVE_TAKEN_BACK);
        decide(MoveState.MOVE_DONE);
        assertThat(state.moves().get(0).getState()).isEqualTo(MoveState.MOVE_TAKEN_BACK);
        assertThat(state.decisions()).hasSize(1);
    }

    /** Guards against members whose states differ because one of them replays a decision that others applied. */
    @Test
    void appliesDecisionsThatNameNoMove() {
        publish(7, "a");
        baseline("v1");
        start("v2");
        decide(MoveState.MOVE_DONE);
        state.apply(decision(MoveState.MOVE_TAKEN_BACK).clearUndecidedMove().build());
        assertThat(state.moves().get(0).getState()).isEqualTo(MoveState.MOVE_TAKEN_BACK);
    }

    /** Guards against an acknowledged order to move back to a version of before, which is never carried out. */
    @Test
    void completedMoveRestartsAfterAnother() throws IOException {
        publish(7, "a");
        baseline("v1");
        start("v2");
        decide(MoveState.MOVE_DONE);
        assertThat(start("v2")).isEqualTo(StartMoveReply.Outcome.KNOWN);
        start("v1");
        state.apply(MetaCommand.newBuilder()
                .setMoveProgress(MoveProgress.newBuilder().setMove("@a/v1").setState(MoveState.MOVE_DONE))
                .build());
        assertThat(start("v2")).isEqualTo(StartMoveReply.Outcome.STARTED);
        assertThat(start("v2")).isEqualTo(StartMoveReply.Outcome.KNOWN);
        OrderedMove last = restored().orderedMoves().get(2);
        assertThat(last.getTarget()).isEqualTo("v2");
        assertThat(last.getFrom()).isEqualTo("v1");
        assertThat(last.getState()).isEqualTo(MoveState.MOVE_UNSPECIFIED);
    }

    /** Guards against a move to a failing version that starts again because its order was repeated. */
    @Test
    void rolledBackMoveDoesNotRestart() {
        publish(7, "a");
        baseline("v1");
        start("v2");
        decide(MoveState.MOVE_TAKEN_BACK);
        assertThat(start("v2")).isEqualTo(StartMoveReply.Outcome.KNOWN);
    }

    private void decide(MoveState decided) {
        state.apply(decision(decided).build());
    }

    private static MetaCommand.Builder decision(MoveState decided) {
        return MetaCommand.newBuilder()
                .setUndecidedMove("@a/v2")
                .setMoveProgress(MoveProgress.newBuilder().setMove("@a/v2").setState(decided));
    }

    private void block() {
        state.apply(MetaCommand.newBuilder()
                .setUndecidedMove("@a/v2")
                .setVersionDecision(VersionDecision.newBuilder()
                        .setService("a")
                        .setVersion("v2")
                        .setBlocked(true))
                .build());
    }

    private MetaState restored() throws IOException {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        state.writeSnapshot(out);
        MetaState copy = new MetaState((previous, next, nowMs) -> List.of());
        copy.readSnapshot(new ByteArrayInputStream(out.toByteArray()));
        return copy;
    }

    private void baseline(String version) {
        state.apply(MetaCommand.newBuilder()
                .setSetBaseline(SetBaseline.newBuilder().setService("a").setVersion(version))
                .build());
    }

    private StartMoveReply.Outcome start(String target) {
        return state.apply(MetaCommand.newBuilder()
                        .setStartMove(StartMove.newBuilder()
                                .setService("a")
                                .setTarget(target)
                                .setRestarts(true)
                                .setDurationMs(10_000))
                        .build())
                .getStartMove()
                .getOutcome();
    }

    private PublishReply publish(long generation, String name) {
        return state.apply(MetaCommand.newBuilder()
                        .setPublish(Publish.newBuilder()
                                .setGeneration(generation)
                                .setDocument(ByteString.copyFromUtf8(name))
                                .addSections(
                                        Section.newBuilder().setKind("origin").setName(name)))
                        .build())
                .getPublish();
    }
}
