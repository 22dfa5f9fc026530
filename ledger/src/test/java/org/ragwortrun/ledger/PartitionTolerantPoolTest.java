package org.ragwortrun.ledger;

import static com.google.common.truth.Truth.assertThat;

import com.google.common.collect.Range;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.ragwortrun.proto.BudgetRef;
import org.ragwortrun.proto.GrantResult;
import org.ragwortrun.proto.RequestGrant;

/** What a router may spend while the owner of a budget does not answer. */
final class PartitionTolerantPoolTest {
    private static final BudgetRef BUDGET =
            BudgetRef.newBuilder().setAccount("c").setService("*").build();
    private static final int HOLD_MS = 12_000;
    private static final int SILENT_MS = 2_500;

    private final ManualTime time = new ManualTime(1_000_000);
    private long burst;
    private final GrantPool pool = new GrantPool("r@1", time, PoolSettings.outlasting(HOLD_MS));

    /** Load: 2,000 tokens a second. Guards against a lost router that costs as much as its largest requests. */
    @Test
    void burstIsOneSecondOfDemand() {
        assertThat(steadyDemand().getBurst()).isIn(Range.closed(1_800L, 2_800L));
    }

    /** Load: one large request a few seconds into a cut. It must not be refused for ever because it exceeds the burst. */
    @Test
    void allowsLargeRequestOnceRateCoversIt() {
        RequestGrant ask = steadyDemand();
        Reservation large = reserved((long) (burst + rate(ask) * 3_000));
        time.advanceMillis(SILENT_MS + 2_000);
        assertThat(pool.spendUnacknowledged(large)).isFalse();
        time.advanceMillis(1_100);
        assertThat(pool.spendUnacknowledged(large)).isTrue();
        assertThat(pool.spendUnacknowledged(large)).isFalse();
    }

    /** Load: many callers in the first second of a cut. Those who are refused must not all come back at once. */
    @Test
    void spreadsRetryTimes() {
        RequestGrant ask = steadyDemand();
        assertThat(pool.spendUnacknowledged(reserved(burst))).isTrue();
        Reservation first = reserved(1_000);
        Reservation second = reserved(1_000);
        long apart = (long) (1_000 / rate(ask));
        long firstAfter = pool.unacknowledgedAfter(first).orElseThrow();
        long secondAfter = pool.unacknowledgedAfter(second).orElseThrow();
        assertThat(firstAfter).isIn(Range.closed(SILENT_MS + apart - 2, SILENT_MS + apart + 2));
        assertThat(secondAfter - firstAfter).isIn(Range.closed(apart - 2, apart + 2));
        time.advanceMillis(firstAfter + 1);
        assertThat(pool.spendUnacknowledged(second)).isTrue();
        assertThat(pool.spendUnacknowledged(first)).isFalse();
        time.advanceMillis(apart + 1);
        assertThat(pool.spendUnacknowledged(first)).isTrue();
    }

    /** Guards against an overspend: for some seconds, the owner counts on no more than the burst. */
    @Test
    void limitsUnacknowledgedSpendingToBurstAtFirst() {
        steadyDemand();
        Reservation one = reserved(1);
        Reservation whole = reserved(burst);
        assertThat(pool.spendUnacknowledged(whole)).isTrue();
        time.advanceMillis(SILENT_MS);
        assertThat(pool.spendUnacknowledged(one)).isFalse();
        time.advanceMillis(10);
        assertThat(pool.spendUnacknowledged(one)).isTrue();
    }

    /** Guards against tokens that neither a declaration nor a bill names when the router is lost. */
    @Test
    void declaresSettledReservationUntilBilled() {
        Reservation r = reserved(500);
        pool.settle(r, 300);
        assertThat(pool.mark(BUDGET).getReserved()).isEqualTo(300);
        pool.billed(BUDGET, 300);
        assertThat(pool.mark(BUDGET).getReserved()).isEqualTo(0);
    }

    /** Guards against a silence that the owner cannot see because the acknowledgement of a declaration was lost. */
    @Test
    void declaresAgeOfLastAcknowledgement() {
        steadyDemand();
        time.advanceMillis(1_234);
        assertThat(pool.mark(BUDGET).getAgeMs()).isEqualTo(1_234);
    }

    /** Guards against an overspend: the owner counts on the rate of the newest request, which may have reached it. */
    @Test
    void appliesLowerRateOnceRequested() {
        RequestGrant high = steadyDemand();
        Reservation some = reserved((long) (burst + rate(high) * 500));
        time.advanceMillis(60_000);
        RequestGrant low =
                ((ReserveResult.NeedMore) pool.reserve(BUDGET, 1)).ask().orElseThrow();
        assertThat(rate(low)).isLessThan(rate(high) / 2);
        pool.marked(List.of(pool.mark(BUDGET)));
        time.advanceMillis(SILENT_MS + 1_000);
        assertThat(pool.spendUnacknowledged(some)).isFalse();
    }

    private static double rate(RequestGrant ask) {
        return (double) ask.getTarget() / ask.getTargetMs();
    }

    private RequestGrant steadyDemand() {
        RequestGrant last = ask(1_000);
        for (int i = 0; i < 20; i++) {
            time.advanceMillis(500);
            last = ask(1_000);
        }
        pool.marked(List.of(pool.mark(BUDGET)));
        return last;
    }

    /** Asks for a request's tokens, takes the answer and ends the request. */
    private RequestGrant ask(long tokens) {
        RequestGrant ask = grant(pool.reserve(BUDGET, tokens));
        Reservation r = ((ReserveResult.Reserved) pool.reserveAgain(BUDGET, tokens)).reservation();
        pool.settle(r, tokens);
        pool.billed(BUDGET, tokens);
        return ask;
    }

    private Reservation reserved(long tokens) {
        grant(pool.reserveAgain(BUDGET, tokens));
        return ((ReserveResult.Reserved) pool.reserveAgain(BUDGET, tokens)).reservation();
    }

    private RequestGrant grant(ReserveResult missing) {
        RequestGrant ask = ((ReserveResult.NeedMore) missing).ask().orElseThrow();
        burst = Math.max(burst, ask.getBurst());
        pool.granted(
                ask,
                GrantResult.newBuilder()
                        .setOutcome(GrantResult.Outcome.GRANTED)
                        .setAmount(ask.getMinimum())
                        .build());
        return ask;
    }
}
