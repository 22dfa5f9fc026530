package org.ragwortrun.ledger;

import static com.google.common.truth.Truth.assertThat;

import com.google.common.collect.Range;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.ragwortrun.proto.BudgetRef;
import org.ragwortrun.proto.GrantResult;
import org.ragwortrun.proto.RequestGrant;

/** Spending of a router while the owner of a budget is unreachable. */
final class PartitionTolerantPoolTest {
    private static final BudgetRef BUDGET =
            BudgetRef.newBuilder().setAccount("c").setService("*").build();
    private static final int HOLD_MS = 12_000;
    private static final int SILENT_MS = 2_500;

    private final ManualTime time = new ManualTime(1_000_000);
    private long burst;
    private final GrantPool pool = new GrantPool("r@1", time, PoolSettings.partitionTolerant(HOLD_MS));

    /** Guards against writing off as much as the largest requests with a lost router, at 2,000 tokens per second. */
    @Test
    void burstIsOneSecondOfDemand() {
        assertThat(steadyDemand().getBurst()).isIn(Range.closed(1_800L, 2_800L));
    }

    /** Guards against a large request that is refused throughout a partition because it exceeds the burst. */
    @Test
    void allowsLargeRequestOnceRateCoversIt() {
        RequestGrant request = steadyDemand();
        Reservation large = reserved((long) (burst + rate(request) * 3_000));
        time.advanceMillis(SILENT_MS + 2_000);
        assertThat(pool.trySpendUnacknowledged(large)).isFalse();
        time.advanceMillis(1_100);
        assertThat(pool.trySpendUnacknowledged(large)).isTrue();
        assertThat(pool.trySpendUnacknowledged(large)).isFalse();
    }

    /** Guards against callers refused at the start of a partition that all retry at the same time. */
    @Test
    void spreadsRetryTimes() {
        RequestGrant request = steadyDemand();
        assertThat(pool.trySpendUnacknowledged(reserved(burst))).isTrue();
        Reservation first = reserved(1_000);
        Reservation second = reserved(1_000);
        long apart = (long) (1_000 / rate(request));
        long firstAfter = pool.retryAfterMs(first).orElseThrow();
        long secondAfter = pool.retryAfterMs(second).orElseThrow();
        assertThat(firstAfter).isIn(Range.closed(SILENT_MS + apart - 2, SILENT_MS + apart + 2));
        assertThat(secondAfter - firstAfter).isIn(Range.closed(apart - 2, apart + 2));
        time.advanceMillis(firstAfter + 1);
        assertThat(pool.trySpendUnacknowledged(second)).isTrue();
        assertThat(pool.trySpendUnacknowledged(first)).isFalse();
        time.advanceMillis(apart + 1);
        assertThat(pool.trySpendUnacknowledged(first)).isTrue();
    }

    /** Guards against overspending: for the first seconds, the owner assumes spending up to the burst only. */
    @Test
    void limitsUnacknowledgedSpendingToBurstAtFirst() {
        steadyDemand();
        Reservation one = reserved(1);
        Reservation whole = reserved(burst);
        assertThat(pool.trySpendUnacknowledged(whole)).isTrue();
        time.advanceMillis(SILENT_MS);
        assertThat(pool.trySpendUnacknowledged(one)).isFalse();
        time.advanceMillis(10);
        assertThat(pool.trySpendUnacknowledged(one)).isTrue();
    }

    /** Guards against spent tokens that neither a declaration nor a bill contains when the router is lost. */
    @Test
    void declaresSettledReservationUntilBilled() {
        Reservation r = reserved(500);
        pool.settle(r, 300);
        assertThat(pool.spendMark(BUDGET).getReserved()).isEqualTo(300);
        pool.acknowledgeBill(BUDGET, 300);
        assertThat(pool.spendMark(BUDGET).getReserved()).isEqualTo(0);
    }

    /** Guards against an owner that assumes a lost acknowledgement has arrived and underestimates the spending. */
    @Test
    void declaresAgeOfLastAcknowledgement() {
        steadyDemand();
        time.advanceMillis(1_234);
        assertThat(pool.spendMark(BUDGET).getAgeMs()).isEqualTo(1_234);
    }

    /** Guards against overspending: the owner may already assume the rate of the newest grant request. */
    @Test
    void appliesLowerRateOnceRequested() {
        RequestGrant high = steadyDemand();
        Reservation some = reserved((long) (burst + rate(high) * 500));
        time.advanceMillis(60_000);
        RequestGrant low =
                ((ReserveResult.GrantNeeded) pool.reserve(BUDGET, 1)).request().orElseThrow();
        assertThat(rate(low)).isLessThan(rate(high) / 2);
        pool.acknowledgeMarks(List.of(pool.spendMark(BUDGET)));
        time.advanceMillis(SILENT_MS + 1_000);
        assertThat(pool.trySpendUnacknowledged(some)).isFalse();
    }

    private static double rate(RequestGrant request) {
        return (double) request.getTarget() / request.getTargetMs();
    }

    private RequestGrant steadyDemand() {
        RequestGrant last = requestAndSpend(1_000);
        for (int i = 0; i < 20; i++) {
            time.advanceMillis(500);
            last = requestAndSpend(1_000);
        }
        pool.acknowledgeMarks(List.of(pool.spendMark(BUDGET)));
        return last;
    }

    /** Gets a grant for a request's tokens, spends them and bills the request. */
    private RequestGrant requestAndSpend(long tokens) {
        RequestGrant request = applyGrant(pool.reserve(BUDGET, tokens));
        Reservation r = ((ReserveResult.Reserved) pool.retryReserve(BUDGET, tokens)).reservation();
        pool.settle(r, tokens);
        pool.acknowledgeBill(BUDGET, tokens);
        return request;
    }

    private Reservation reserved(long tokens) {
        applyGrant(pool.retryReserve(BUDGET, tokens));
        return ((ReserveResult.Reserved) pool.retryReserve(BUDGET, tokens)).reservation();
    }

    private RequestGrant applyGrant(ReserveResult missing) {
        RequestGrant request = ((ReserveResult.GrantNeeded) missing).request().orElseThrow();
        burst = Math.max(burst, request.getBurst());
        pool.applyGrantResult(
                request,
                GrantResult.newBuilder()
                        .setOutcome(GrantResult.Outcome.GRANTED)
                        .setAmount(request.getMinimum())
                        .build());
        return request;
    }
}
