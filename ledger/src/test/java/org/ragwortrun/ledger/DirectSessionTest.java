package org.ragwortrun.ledger;

import static com.google.common.truth.Truth.assertThat;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.ragwortrun.proto.*;

/** Write-offs of routers that call endpoints without agents, so that no other process knows their usage. */
final class DirectSessionTest {
    private static final BudgetRef BUDGET =
            BudgetRef.newBuilder().setAccount("c").setService("*").build();
    private static final int TARGET_MS = 10_000;
    // After 2.5 s without an acknowledgement, a router may spend at its rate. The clock margin is 0.4 s.
    private static final int SILENT_MS = 2_500;
    private static final int MARGIN_MS = 400;

    private ShardState shard = new ShardState(GrantPolicy.demand());
    private long now = 1_000_000;

    @BeforeEach
    void openSessionAndPay() {
        open("r@1", 0);
        setTotal(1_000_000, 1);
    }

    /** Guards against overspending: a lost router may have spent tokens that it has not reported. */
    @Test
    void writesOffMaximumSpendOfLostRouter() {
        grant("r@1-1", 0, 100_000, 2_000);
        mark("r@1", 5_000, 5_000);
        now += 6_000;
        WrittenOff lost = open("r@2", 0).getWrittenOff(0);
        assertThat(lost.getHeld()).isEqualTo(100_000);
        // The declared tokens, the burst, and 10 tokens per millisecond of unacknowledged spending.
        int unacknowledgedMs = 6_000 + MARGIN_MS - SILENT_MS;
        assertThat(lost.getLost()).isEqualTo(5_000 + 2_000 + 10 * unacknowledgedMs);
        assertThat(statement().getSettled()).isEqualTo(lost.getLost());
        assertThat(statement().getHeld()).isEqualTo(0);
    }

    /** Guards against budgets exhausted by write-offs when all hosts lose power and restart within 2 s. */
    @Test
    void quickRestartWritesOffDeclaredTokensAndBurst() {
        grant("r@1-1", 0, 100_000, 2_000);
        mark("r@1", 5_000, 5_000);
        now += SILENT_MS - MARGIN_MS;
        assertThat(open("r@2", 0).getWrittenOff(0).getLost()).isEqualTo(5_000 + 2_000);
    }

    /** Guards against an undercount when an acknowledgement is lost and the declaration after it arrives. */
    @Test
    void unacknowledgedTimeStartsAtLastAcknowledgement() {
        grant("r@1-1", 0, 100_000, 2_000);
        mark("r@1", 5_000, 5_000);
        now += 3_000;
        mark("r@1", 6_000, 9_000, 3_000);
        now += 1_000;
        assertThat(open("r@2", 0).getWrittenOff(0).getLost())
                .isEqualTo(6_000 + 2_000 + 10 * (4_000 + MARGIN_MS - SILENT_MS));
    }

    /** Guards against a write-off for the time in which the new process was already running. */
    @Test
    void excludesUptimeOfNewProcess() {
        grant("r@1-1", 0, 100_000, 2_000);
        mark("r@1", 0, 5_000);
        now += 6_000;
        int unacknowledgedMs = 6_000 - 2_500 + MARGIN_MS - SILENT_MS;
        assertThat(open("r@2", 2_500).getWrittenOff(0).getLost()).isEqualTo(2_000 + 10 * unacknowledgedMs);
    }

    /** Guards against an undercount: until its next declaration, a router may have spent at the previous rate. */
    @Test
    void keepsHigherRateUntilNextDeclaration() {
        grant("r@1-1", 0, 100_000, 0);
        mark("r@1", 0, 5_000);
        apply(ShardCommand.newBuilder()
                .setRequestGrant(grantRequest("r@1", "r@1-2", 0, 1, 0).setTarget(TARGET_MS)));
        now += 6_000;
        assertThat(open("r@2", 0).getWrittenOff(0).getLost()).isEqualTo(10 * (6_000 + MARGIN_MS - SILENT_MS));
    }

    @Test
    void usesLowerRateAfterDeclaration() {
        grant("r@1-1", 0, 100_000, 0);
        apply(ShardCommand.newBuilder()
                .setRequestGrant(grantRequest("r@1", "r@1-2", 0, 1, 0).setTarget(TARGET_MS)));
        mark("r@1", 0, 5_000);
        now += 6_000;
        assertThat(open("r@2", 0).getWrittenOff(0).getLost()).isEqualTo(6_000 + MARGIN_MS - SILENT_MS);
    }

    /** Guards against a delayed declaration that overwrites a newer one. */
    @Test
    void ignoresOutdatedDeclaration() {
        grant("r@1-1", 0, 100_000, 0);
        mark("r@1", 9_000, 9_000);
        mark("r@1", 1_000, 1_000);
        now += SILENT_MS;
        assertThat(open("r@2", 0).getWrittenOff(0).getLost()).isEqualTo(9_000 + 10 * MARGIN_MS);
    }

    @Test
    void orderlyStopWritesOffNothing() {
        grant("r@1-1", 0, 100_000, 2_000);
        apply(ShardCommand.newBuilder()
                .setCloseSession(CloseSession.newBuilder().setIncarnation("r@1").setOrderly(true)));
        assertThat(statement().getSettled()).isEqualTo(0);
        assertThat(statement().getHeld()).isEqualTo(0);
    }

    /** Guards against a release of tokens that a fenced router may still be spending. */
    @Test
    void fencedRouterWritesOffAllGrants() {
        grant("r@1-1", 0, 100_000, 2_000);
        apply(ShardCommand.newBuilder()
                .setCloseSession(CloseSession.newBuilder().setIncarnation("r@1")));
        assertThat(statement().getSettled()).isEqualTo(100_000);
    }

    @Test
    void newerTotalReplacesEarlierTotal() {
        setTotal(1_500_000, 2);
        assertThat(statement().getPrepaid()).isEqualTo(1_500_000);
        setTotal(1_000_000, 1);
        assertThat(statement().getPrepaid()).isEqualTo(1_500_000);
    }

    /** Guards against grants above a total that was lowered while tokens were outstanding. */
    @Test
    void loweredTotalBlocksFurtherGrants() {
        grant("r@1-1", 0, 400_000, 0);
        setTotal(300_000, 2);
        GrantResult more = grant("r@1-2", 100, 100, 0);
        assertThat(more.getOutcome()).isEqualTo(GrantResult.Outcome.HELD);
        apply(ShardCommand.newBuilder()
                .setReduceGrants(ReduceGrants.newBuilder()
                        .setIncarnation("r@1")
                        .addTotals(GrantTotal.newBuilder()
                                .setBudget(BUDGET)
                                .setGrantId("r@1-1")
                                .setReturnedTotal(250_000))));
        assertThat(statement().getPrepaid()).isEqualTo(300_000);
        assertThat(grant("r@1-3", 100, 100, 0).getOutcome()).isEqualTo(GrantResult.Outcome.GRANTED);
    }

    /** Guards against a request that waits although the return of all outstanding tokens would not suffice. */
    @Test
    void refusesRequestLargerThanUnsettledBudget() {
        grant("r@1-1", 0, 400_000, 0);
        assertThat(grant("r@1-2", 1_000_000, 1_000_000, 0).getOutcome()).isEqualTo(GrantResult.Outcome.HELD);
        assertThat(grant("r@1-3", 1_000_001, 1_000_001, 0).getOutcome()).isEqualTo(GrantResult.Outcome.SPENT);
    }

    @Test
    void routersShareInProportionToTheirTargets() {
        open("q@1", 0);
        grant("r@1-1", 0, 300_000, 0);
        GrantResult other = apply(ShardCommand.newBuilder()
                        .setRequestGrant(
                                grantRequest("q@1", "q@1-1", 0, 900_000, 0).setTarget(100_000)))
                .getGrant();
        // Its target is a quarter of all targets, which share three quarters of the remaining 700,000 tokens.
        assertThat(other.getAmount()).isEqualTo((long) (700_000 * 0.75 * 0.25));
    }

    @Test
    void snapshotKeepsSpendBounds() throws IOException {
        grant("r@1-1", 0, 100_000, 2_000);
        mark("r@1", 5_000, 5_000);
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        shard.writeSnapshot(out);
        shard = new ShardState(GrantPolicy.demand());
        shard.readSnapshot(new ByteArrayInputStream(out.toByteArray()));
        now += SILENT_MS;
        assertThat(open("r@2", 0).getWrittenOff(0).getLost()).isEqualTo(7_000 + 10 * MARGIN_MS);
    }

    private SessionOpened open(String incarnation, int uptimeMs) {
        return apply(ShardCommand.newBuilder()
                        .setOpenSession(OpenSession.newBuilder()
                                .setRouter(incarnation.substring(0, 1))
                                .setIncarnation(incarnation)
                                .setDirect(true)
                                .setUptimeMs(uptimeMs)))
                .getSessionOpened();
    }

    private void setTotal(long tokens, long number) {
        apply(ShardCommand.newBuilder()
                .setApplyTopUps(ApplyTopUps.newBuilder()
                        .setConfigNumber(number)
                        .addTopUps(TopUp.newBuilder()
                                .setBudget(BUDGET)
                                .setTokens(tokens)
                                .setTotal(true))));
    }

    private GrantResult grant(String id, long minimum, long wanted, long burst) {
        return apply(ShardCommand.newBuilder().setRequestGrant(grantRequest("r@1", id, minimum, wanted, burst)))
                .getGrant();
    }

    private static RequestGrant.Builder grantRequest(
            String incarnation, String id, long minimum, long wanted, long burst) {
        return RequestGrant.newBuilder()
                .setBudget(BUDGET)
                .setIncarnation(incarnation)
                .setGrantId(id)
                .setMinimum(minimum)
                .setWanted(wanted)
                .setTarget(wanted)
                .setTargetMs(TARGET_MS)
                .setBurst(burst);
    }

    private void mark(String incarnation, long reserved, long total) {
        mark(incarnation, reserved, total, 0);
    }

    private void mark(String incarnation, long reserved, long total, int ageMs) {
        apply(ShardCommand.newBuilder()
                .setSettle(SettleBatch.newBuilder()
                        .setReporter(incarnation)
                        .addMarks(SpendMark.newBuilder()
                                .setBudget(BUDGET)
                                .setReserved(reserved)
                                .setTotal(total)
                                .setAgeMs(ageMs))));
    }

    private BudgetStatement statement() {
        return shard.statement(StatementQuery.newBuilder().setAccount("c").build())
                .getBudgets(0);
    }

    private ShardResult apply(ShardCommand.Builder command) {
        return shard.apply(command.setNowMs(now).build());
    }
}
