package org.ragwortrun.ledger;

import static com.google.common.truth.Truth.assertThat;

import com.google.protobuf.ByteString;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.ragwortrun.proto.*;

final class ShardStateTest {
    private static final long HOUR = 3_600_000;
    private static final BudgetRef BUDGET =
            BudgetRef.newBuilder().setAccount("c").setService("s").build();

    private final ShardState shard = new ShardState(GrantPolicy.demand());
    private long now = 100 * HOUR;

    @BeforeEach
    void openSessionAndPay() {
        apply(ShardCommand.newBuilder()
                .setOpenSession(OpenSession.newBuilder().setRouter("r").setIncarnation("r@1")));
        apply(topUp("t1", 1_000));
    }

    /** Guards against a bill under a grant whose tokens have already been released to the budget. */
    @Test
    void rejectsUsageAfterItsGrantWasClosed() {
        grant("r@1-1", 400);
        apply(ShardCommand.newBuilder()
                .setCloseSession(CloseSession.newBuilder().setIncarnation("r@1").addAwaitedAgents("a1")));
        assertThat(statement().getHeld()).isEqualTo(400);
        ShardResult fenced = apply(ShardCommand.newBuilder()
                .setConfirmFence(ConfirmFence.newBuilder().setIncarnation("r@1").setAgent("a1")));
        assertThat(fenced.getFence().getReleased()).isEqualTo(400);
        Settled late = settle(usage("q1", "r@1-1", 100));
        assertThat(late.getRejected(0).getReason()).isEqualTo("grant-closed");
        assertThat(statement().getSettled()).isEqualTo(0);
    }

    /** Guards against a second bill for a duplicate report that arrives after the id has been evicted. */
    @Test
    void rejectsCopyOfForgottenBill() {
        grant("r@1-1", 400);
        Usage usage = usage("q1", "r@1-1", 100);
        assertThat(settle(usage).getBilled()).isEqualTo(1);
        now += 60 * HOUR;
        apply(ShardCommand.newBuilder().setForgetOld(ForgetOld.newBuilder().setBeforeMs(now - 12 * HOUR)));
        assertThat(shard.summary().getRegisterEntries()).isEqualTo(0);
        assertThat(settle(usage).getRejected(0).getReason()).isEqualTo("grant-older-than-register");
        assertThat(statement().getSettled()).isEqualTo(100);
    }

    /** Guards against eviction of a bill while a duplicate report could still be billed under an open grant. */
    @Test
    void keepsBillsWhileAnOlderGrantIsOpen() {
        grant("r@1-1", 400);
        Usage usage = usage("q1", "r@1-1", 100);
        settle(usage);
        now += 20 * HOUR;
        apply(ShardCommand.newBuilder().setForgetOld(ForgetOld.newBuilder().setBeforeMs(now - 12 * HOUR)));
        assertThat(settle(usage).getDuplicates()).isEqualTo(1);
    }

    /** Guards against a later resolution that changes an unknown outcome to "not run". */
    @Test
    void keepsUnknownOutcomeUntilBilled() {
        grant("r@1-1", 400);
        assertThat(claim("q1", 0).getOutcome()).isEqualTo(ClaimResult.Outcome.FRESH);
        assertThat(resolve("q1", RunState.RUN_UNKNOWN)).isEqualTo(RunState.RUN_UNKNOWN);
        assertThat(resolve("q1", RunState.RUN_NOT_RUN)).isEqualTo(RunState.RUN_UNKNOWN);
        assertThat(claim("q1", 1).getOutcome()).isEqualTo(ClaimResult.Outcome.UNKNOWN);
        settle(usage("q1", "r@1-1", 10).toBuilder()
                .setAnswer(ByteString.copyFromUtf8("done"))
                .setStatus(201)
                .build());
        ClaimResult ran = claim("q1", 0);
        assertThat(ran.getOutcome()).isEqualTo(ClaimResult.Outcome.RAN);
        assertThat(ran.getAnswer().toStringUtf8()).isEqualTo("done");
        assertThat(ran.getStatus()).isEqualTo(201);
    }

    /** Guards against two routers that both start a new attempt after the first attempt did not run. */
    @Test
    void startsOnlyOneNewAttemptAfterNotRun() {
        claim("q1", 0);
        resolve("q1", RunState.RUN_NOT_RUN);
        assertThat(claim("q1", 1).getAttempt()).isEqualTo(2);
        assertThat(claim("q1", 1).getOutcome()).isEqualTo(ClaimResult.Outcome.RUNNING);
    }

    /** Guards against an id that runs again because its timestamp is in the future or has left the register. */
    @Test
    void rejectsKeyTimesOutOfRange() {
        apply(ShardCommand.newBuilder().setForgetOld(ForgetOld.newBuilder().setBeforeMs(now - 12 * HOUR)));
        Claim.Builder c = claimOf("q1", 0);
        assertThat(claim(c.setKeyTimeMs(now + 300_001)).getOutcome()).isEqualTo(ClaimResult.Outcome.FUTURE);
        assertThat(claim(c.setKeyTimeMs(now - 12 * HOUR + 299_999)).getOutcome())
                .isEqualTo(ClaimResult.Outcome.EXPIRED);
        assertThat(claim(c.setKeyTimeMs(now - 11 * HOUR)).getOutcome()).isEqualTo(ClaimResult.Outcome.FRESH);
    }

    /** Guards against an overflow of the sum and against a partially applied batch. */
    @Test
    void rejectsWholeBatchOnTopUpOverflow() {
        ApplyTopUps.Builder both = topUp("t2", 5).getApplyTopUps().toBuilder();
        both.addTopUps(TopUp.newBuilder().setBudget(BUDGET).setId("t3").setTokens(Long.MAX_VALUE));
        ShardResult r = apply(ShardCommand.newBuilder().setApplyTopUps(both));
        assertThat(r.getError().getType()).isEqualTo("amount-overflow");
        assertThat(statement().getPrepaid()).isEqualTo(1_000);
    }

    /** Guards against tokens that stay held after a request ran under two grants. */
    @Test
    void refundsSecondRunOnce() {
        grant("r@1-1", 100);
        grant("r@1-2", 100);
        settle(usage("q1", "r@1-1", 60));
        settle(usage("q1", "r@1-2", 70));
        settle(usage("q1", "r@1-2", 70));
        assertThat(statement().getSettled()).isEqualTo(60);
        assertThat(statement().getHeld()).isEqualTo(40 + 30);
    }

    private void grant(String id, long tokens) {
        ShardResult r = apply(ShardCommand.newBuilder()
                .setRequestGrant(RequestGrant.newBuilder()
                        .setBudget(BUDGET)
                        .setIncarnation("r@1")
                        .setGrantId(id)
                        .setMinimum(tokens)
                        .setWanted(tokens)));
        assertThat(r.getGrant().getAmount()).isEqualTo(tokens);
    }

    private Usage usage(String id, String grant, long tokens) {
        return Usage.newBuilder()
                .setBudget(BUDGET)
                .setRequestId(id)
                .setGrantId(grant)
                .setIncarnation("r@1")
                .setTokens(tokens)
                .build();
    }

    private Settled settle(Usage usage) {
        return apply(ShardCommand.newBuilder()
                        .setSettle(SettleBatch.newBuilder().addUsages(usage)))
                .getSettled();
    }

    private Claim.Builder claimOf(String id, int replaces) {
        return Claim.newBuilder()
                .setBudget(BUDGET)
                .setRequestId(id)
                .setDigest(ByteString.copyFromUtf8("content"))
                .setIncarnation("r@1")
                .setAgent("a1")
                .setAgentIncarnation("a1@1")
                .setKeyTimeMs(now)
                .setReplacesAttempt(replaces);
    }

    private ClaimResult claim(String id, int replaces) {
        return claim(claimOf(id, replaces));
    }

    private ClaimResult claim(Claim.Builder claim) {
        return apply(ShardCommand.newBuilder().setClaim(claim)).getClaim();
    }

    private RunState resolve(String id, RunState run) {
        return apply(ShardCommand.newBuilder()
                        .setResolve(Resolve.newBuilder()
                                .setBudget(BUDGET)
                                .setRequestId(id)
                                .setAttempt(1)
                                .setRun(run)))
                .getResolved()
                .getRun();
    }

    private ShardCommand.Builder topUp(String id, long tokens) {
        return ShardCommand.newBuilder()
                .setApplyTopUps(ApplyTopUps.newBuilder()
                        .addTopUps(
                                TopUp.newBuilder().setBudget(BUDGET).setId(id).setTokens(tokens)));
    }

    private ShardResult apply(ShardCommand.Builder command) {
        return shard.apply(command.setNowMs(now).build());
    }

    private BudgetStatement statement() {
        return shard.statement(StatementQuery.newBuilder().setAccount("c").build())
                .getBudgets(0);
    }
}
