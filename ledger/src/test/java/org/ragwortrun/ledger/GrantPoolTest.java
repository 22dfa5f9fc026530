package org.ragwortrun.ledger;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.junit.jupiter.api.Test;
import org.ragwortrun.proto.*;

final class GrantPoolTest {
    private static final BudgetRef BUDGET =
            BudgetRef.newBuilder().setAccount("c").setService("s").build();

    private final ManualTime time = new ManualTime(1_000_000);
    private final GrantPool pool = new GrantPool("r@1", time, PoolSettings.defaults());

    /** Guards against tokens spent twice because a duplicate grant result adds the grant again. */
    @Test
    void appliesGrantResultOnce() {
        RequestGrant request = reserveWithoutGrant(100).request().orElseThrow();
        assertThat(reserveWithoutGrant(50).request()).isEmpty();
        GrantResult answer = granted(100);
        pool.applyGrantResult(request, answer);
        pool.applyGrantResult(request, answer);
        assertThat(pool.free(BUDGET)).isEqualTo(100);
    }

    /** Guards against usage beyond a reservation and against tokens that are freed twice. */
    @Test
    void freesUnusedTokensOnce() {
        pool.applyGrantResult(reserveWithoutGrant(100).request().orElseThrow(), granted(100));
        Reservation r = reserved(100);
        pool.settle(r, 30);
        pool.settle(r, 0);
        assertThat(pool.free(BUDGET)).isEqualTo(70);
    }

    /** Guards against a recall that returns the tokens of a running request, and against a lost return. */
    @Test
    void recallReturnsOnlyFreeTokens() {
        pool.applyGrantResult(reserveWithoutGrant(100).request().orElseThrow(), granted(500));
        Reservation r = reserved(100);
        ReduceGrants first = pool.recall(BUDGET).orElseThrow();
        assertThat(first.getTotals(0).getReturnedTotal()).isEqualTo(400);
        assertThat(pool.unacknowledgedReturns()).hasValue(first);
        pool.settle(r, 40);
        ReduceGrants second = pool.returnsDue(BUDGET).orElseThrow();
        assertThat(second.getTotals(0).getReturnedTotal()).isEqualTo(460);
        pool.acknowledgeReturns(first);
        assertThat(pool.unacknowledgedReturns()).hasValue(second);
        pool.acknowledgeReturns(second);
        assertThat(pool.unacknowledgedReturns()).isEmpty();
    }

    /** Guards against tokens that an idle router withholds from other routers. */
    @Test
    void returnsIdleGrants() {
        pool.applyGrantResult(reserveWithoutGrant(100).request().orElseThrow(), granted(100));
        assertThat(pool.returnsDue()).isEmpty();
        time.advanceMillis(10_000);
        assertThat(pool.returnsDue().orElseThrow().getTotals(0).getReturnedTotal())
                .isEqualTo(100);
        assertThat(pool.free(BUDGET)).isEqualTo(0);
    }

    /** Guards against a grant that stays in use for so long that the register cannot evict bills. */
    @Test
    void doesNotReserveFromExpiredGrant() {
        pool.applyGrantResult(reserveWithoutGrant(100).request().orElseThrow(), granted(500));
        time.advanceMillis(3_600_000);
        reserveWithoutGrant(100);
        assertThat(pool.returnsDue().orElseThrow().getTotals(0).getReturnedTotal())
                .isEqualTo(500);
    }

    /** Guards against accumulating fragments that are each too small for a request. */
    @Test
    void returnsFragmentsTooSmallForRequest() {
        pool.applyGrantResult(reserveWithoutGrant(100).request().orElseThrow(), granted(150));
        reserved(100);
        RequestGrant request = reserveWithoutGrant(60).request().orElseThrow();
        assertThat(pool.free(BUDGET)).isEqualTo(50);
        ReduceGrants due = pool.applyGrantResult(request, granted(60)).orElseThrow();
        assertThat(due.getTotals(0).getReturnedTotal()).isEqualTo(50);
        assertThat(pool.free(BUDGET)).isEqualTo(60);
    }

    /** Guards against concurrent threads that reserve more than was granted. */
    @Test
    void concurrentReservationsStayWithinGrant() throws InterruptedException {
        pool.applyGrantResult(reserveWithoutGrant(1).request().orElseThrow(), granted(10_000));
        AtomicLong used = new AtomicLong();
        CountDownLatch done = new CountDownLatch(2);
        for (int t = 0; t < 2; t++) {
            Thread thread = new Thread(() -> {
                for (int i = 0; i < 5_000; i++) {
                    if (pool.reserve(BUDGET, 7) instanceof ReserveResult.Reserved r) {
                        pool.settle(r.reservation(), 3);
                        used.addAndGet(3);
                    }
                }
                done.countDown();
            });
            thread.setDaemon(true);
            thread.start();
        }
        assertThat(done.await(20, TimeUnit.SECONDS)).isTrue();
        // Near the end, threads return fragments, so up to one reservation per thread may remain unused.
        assertThat(used.get()).isAtMost(10_000);
        assertThat(used.get() + pool.free(BUDGET)).isAtMost(10_000);
    }

    /** Guards against tokens lost or created between pools and the owner when grant results are lost or delayed. */
    @Test
    void poolsAndOwnerAgreeAfterLostResponses() {
        for (long seed = 1; seed <= 200; seed++) {
            UniformRandomProvider random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
            ShardState shard = new ShardState(GrantPolicy.demand());
            List<GrantPool> pools = new ArrayList<>();
            List<Reservation> open = new ArrayList<>();
            List<GrantPool> holders = new ArrayList<>();
            long used = 0;
            apply(
                    shard,
                    ShardCommand.newBuilder()
                            .setApplyTopUps(ApplyTopUps.newBuilder()
                                    .addTopUps(TopUp.newBuilder()
                                            .setBudget(BUDGET)
                                            .setId("t")
                                            .setTokens(50_000))));
            for (int i = 0; i < 3; i++) {
                pools.add(new GrantPool("r" + i + "@1", time, PoolSettings.defaults()));
                apply(
                        shard,
                        ShardCommand.newBuilder()
                                .setOpenSession(OpenSession.newBuilder()
                                        .setRouter("r" + i)
                                        .setIncarnation("r" + i + "@1")));
            }
            for (int step = 0; step < 300; step++) {
                time.advanceMillis(random.nextInt(50));
                GrantPool p = pools.get(random.nextInt(3));
                ReserveResult result = p.reserve(BUDGET, 1 + random.nextInt(300));
                if (result instanceof ReserveResult.Reserved r) {
                    open.add(r.reservation());
                    holders.add(p);
                } else if (random.nextInt(4) > 0) {
                    exchange(shard, p, random.nextInt(4) > 0);
                }
                if (!open.isEmpty() && random.nextInt(3) == 0) {
                    int i = random.nextInt(open.size());
                    Reservation r = open.remove(i);
                    long tokens = random.nextLong(r.tokens() + 1);
                    holders.remove(i).settle(r, tokens);
                    used += tokens;
                    Settled settled = settle(shard, r, "q" + step, tokens);
                    assertWithMessage("seed " + seed).that(settled.getBilled()).isEqualTo(1);
                }
            }
            for (int i = 0; i < open.size(); i++) {
                holders.get(i).release(open.get(i));
            }
            for (GrantPool p : pools) {
                exchange(shard, p, true);
                p.returnAll();
                exchange(shard, p, true);
                assertWithMessage("seed " + seed)
                        .that(p.unacknowledgedReturns())
                        .isEmpty();
            }
            BudgetStatement b = shard.statement(
                            StatementQuery.newBuilder().setAccount("c").build())
                    .getBudgets(0);
            assertWithMessage("seed " + seed).that(b.getSettled()).isEqualTo(used);
            assertWithMessage("seed " + seed).that(b.getHeld()).isEqualTo(0);
        }
    }

    /** Resends all unacknowledged messages to the owner. Its responses are lost if {@code answersArrive} is false. */
    private void exchange(ShardState shard, GrantPool p, boolean answersArrive) {
        p.unacknowledgedReturns().ifPresent(r -> {
            ShardResult result = apply(shard, ShardCommand.newBuilder().setReduceGrants(r));
            assertThat(result.hasError()).isFalse();
            if (answersArrive) {
                p.acknowledgeReturns(r);
            }
        });
        for (RequestGrant request : p.unansweredRequests()) {
            ShardResult result = apply(shard, ShardCommand.newBuilder().setRequestGrant(request));
            if (answersArrive) {
                p.applyGrantResult(request, result.getGrant());
            }
        }
    }

    private Settled settle(ShardState shard, Reservation r, String id, long tokens) {
        String incarnation = r.grantId().substring(0, r.grantId().lastIndexOf('-'));
        return apply(
                        shard,
                        ShardCommand.newBuilder()
                                .setSettle(SettleBatch.newBuilder()
                                        .addUsages(Usage.newBuilder()
                                                .setBudget(BUDGET)
                                                .setRequestId(id + incarnation)
                                                .setGrantId(r.grantId())
                                                .setIncarnation(incarnation)
                                                .setTokens(tokens))))
                .getSettled();
    }

    private ShardResult apply(ShardState shard, ShardCommand.Builder command) {
        return shard.apply(command.setNowMs(time.millis()).build());
    }

    private ReserveResult.GrantNeeded reserveWithoutGrant(long tokens) {
        return (ReserveResult.GrantNeeded) pool.reserve(BUDGET, tokens);
    }

    private Reservation reserved(long tokens) {
        return ((ReserveResult.Reserved) pool.reserve(BUDGET, tokens)).reservation();
    }

    private static GrantResult granted(long amount) {
        return GrantResult.newBuilder()
                .setOutcome(GrantResult.Outcome.GRANTED)
                .setAmount(amount)
                .build();
    }
}
