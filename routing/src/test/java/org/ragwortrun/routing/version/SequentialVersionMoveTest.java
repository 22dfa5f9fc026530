package org.ragwortrun.routing.version;

import static com.google.common.truth.Truth.assertThat;

import java.time.Instant;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.ragwortrun.core.config.Move;
import org.ragwortrun.proto.EvidenceRow;
import org.ragwortrun.proto.MoveState;

final class SequentialVersionMoveTest {
    private static final Instant START = Instant.parse("2026-01-01T00:00:00Z");
    private static final long MINUTE = 60;
    private static final Move MOVE = new Move("m", "s", "old", "new", 1000, 50, START, START.plusSeconds(30 * MINUTE));

    private SequentialVersionMove move = new SequentialVersionMove(MOVE);

    @Test
    void completesMoveToGoodVersionInTime() {
        MoveDecision decision = run(0, 30 * MINUTE, 5, 0, 0, 400_000);
        assertThat(decision.state()).isEqualTo(MoveState.MOVE_DONE);
        assertThat(decision.sharePermille()).isEqualTo(1000);
    }

    /** Guards against a version that fails at once and still exceeds the trial share. */
    @Test
    void rollsBackFailingVersionWithinTrialShare() {
        int largest = 0;
        for (long s = 0; s < 30 * MINUTE; s++) {
            MoveDecision d = run(s, s + 1, 20, 0.5, 0, 400_000);
            if (d.state() == MoveState.MOVE_TAKEN_BACK) {
                assertThat(largest).isAtMost(50);
                return;
            }
            largest = Math.max(largest, d.sharePermille());
        }
        assertThat(largest).isEqualTo(0);
    }

    /** Guards against a long period without failures that hides a fault which begins after the finish. */
    @Test
    void rollsBackAfterFinish() {
        assertThat(run(0, 40 * MINUTE, 5, 0, 0, 400_000).state()).isEqualTo(MoveState.MOVE_DONE);
        MoveDecision late = run(40 * MINUTE, 50 * MINUTE, 5, 0.5, 0, 400_000);
        assertThat(late.state()).isEqualTo(MoveState.MOVE_TAKEN_BACK);
    }

    /** Guards against completing a move, which is final, to a version that fails only under the full traffic. */
    @Test
    void rollsBackVersionThatFailsAtTargetShare() {
        MoveDecision decision = run(0, 1, 5, 0, 0, 400_000);
        long second = 1;
        while (decision.sharePermille() < 1000) {
            decision = run(second, ++second, 5, 0, 0, 400_000);
        }
        assertThat(decision.state()).isEqualTo(MoveState.MOVE_RUNNING);
        assertThat(run(second, 30 * MINUTE, 5, 0.5, 0, 400_000).state()).isEqualTo(MoveState.MOVE_TAKEN_BACK);
    }

    /** Guards against a move without a finish time that never completes. */
    @Test
    void completesMoveWithoutFinishTime() {
        move = new SequentialVersionMove(new Move("m", "s", "old", "new", 1000, 50, START, Instant.MAX));
        assertThat(run(0, 30 * MINUTE, 5, 0, 0, 400_000).state()).isEqualTo(MoveState.MOVE_DONE);
    }

    /** Guards against a new leader that collects evidence anew at the target share and completes the move late. */
    @Test
    void newLeaderCompletesMoveInTime() {
        move = new SequentialVersionMove(
                MOVE, 1000, START.plusSeconds(29 * MINUTE).toEpochMilli());
        assertThat(run(29 * MINUTE, 30 * MINUTE, 5, 0, 0, 400_000).state()).isEqualTo(MoveState.MOVE_DONE);
    }

    /** Guards against a version that is slow but never fails. */
    @Test
    void rollsBackSlowVersion() {
        MoveDecision decision = run(0, 30 * MINUTE, 20, 0, 0, 900_000);
        assertThat(decision.state()).isEqualTo(MoveState.MOVE_TAKEN_BACK);
        assertThat(decision.reason()).startsWith("slower answers");
    }

    /** Guards against rolling back a slow version after the finish time, by which operators expect a decision. */
    @Test
    void rollsBackSlowVersionBeforeFinishOfShortMove() {
        Move shortMove = new Move("m", "s", "old", "new", 1000, 100, START, START.plusSeconds(15));
        move = new SequentialVersionMove(shortMove);
        MoveDecision decision = run(0, 15, 20, 0, 0, 1_400_000);
        assertThat(decision.state()).isEqualTo(MoveState.MOVE_TAKEN_BACK);
    }

    /** Guards against a short move that spends its time in the probe, whose share is too small for a decision. */
    @Test
    void shortMoveSpendsMostOfItsTimeInTrial() {
        Move shortMove = new Move("m", "s", "old", "new", 1000, 100, START, START.plusSeconds(15));
        move = new SequentialVersionMove(shortMove);
        assertThat(run(0, 5, 50, 0, 0, 400_000).sharePermille()).isEqualTo(100);
        assertThat(run(5, 10, 50, 0, 0, 400_000).sharePermille()).isEqualTo(100);
    }

    /** Guards against rolling back the new version because of an outage that affects both. */
    @Test
    void continuesMoveAfterCommonOutage() {
        MoveDecision before = run(0, 90, 20, 0, 0, 400_000);
        assertThat(before.sharePermille()).isLessThan(1000);
        run(90, 4 * MINUTE, 20, 0.5, 0.5, 400_000);
        assertThat(run(4 * MINUTE, 30 * MINUTE, 20, 0, 0, 400_000).reason()).isEqualTo("target share reached");
    }

    /** Guards against a full move at the finish time to a version that has received no requests. */
    @Test
    void staysWithinTrialShareWithoutTraffic() {
        MoveDecision decision = run(0, 31 * MINUTE, 0, 0, 0, 400_000);
        assertThat(decision.state()).isEqualTo(MoveState.MOVE_LATE);
        assertThat(decision.sharePermille()).isAtMost(50);
    }

    /** Simulates seconds with evenly spread failures and latencies around the same mean. */
    private MoveDecision run(
            long from, long to, int perSecond, double newFailures, double oldFailures, double newLatency) {
        MoveDecision decision = move.decide(START.toEpochMilli() + from * 1000);
        for (long s = from; s < to; s++) {
            decision = move.decide(START.toEpochMilli() + s * 1000);
            double newer = perSecond * decision.sharePermille() / 1000.0;
            long newCount = (long) (newer * (s + 1)) - (long) (newer * s);
            move.observe(List.of(
                    row("new", s, newCount, newFailures, newLatency),
                    row("old", s, perSecond - newCount, oldFailures, 400_000)));
        }
        return decision;
    }

    private static EvidenceRow row(String version, long second, long count, double failureRate, double latency) {
        long failures = Math.min(count, (long) (count * failureRate + (second % 2) * 0.99));
        long good = count - (failureRate > 0 ? failures : 0);
        // Two values around the mean give a variance of 0.25, as real latencies have.
        double log = Math.log(latency) + (second / 2 % 2 == 0 ? 0.5 : -0.5);
        return EvidenceRow.newBuilder()
                .setService("s")
                .setVersion(version)
                .setRoute("r")
                .setRequests(count)
                .setFailures(failureRate > 0 ? failures : 0)
                .setLatencyCount(good)
                .setLogLatencySum(good * log)
                .setLogLatencySquareSum(good * log * log)
                .build();
    }
}
