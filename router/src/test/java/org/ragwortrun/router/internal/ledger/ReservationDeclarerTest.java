package org.ragwortrun.router.internal.ledger;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.ragwortrun.core.concurrent.SingleThreadExecutor;
import org.ragwortrun.core.time.Time;
import org.ragwortrun.ledger.GrantPool;
import org.ragwortrun.ledger.PoolSettings;
import org.ragwortrun.ledger.Reservation;
import org.ragwortrun.ledger.ReserveResult;
import org.ragwortrun.proto.BudgetRef;
import org.ragwortrun.proto.GrantResult;
import org.ragwortrun.proto.RequestGrant;
import org.ragwortrun.proto.Settled;
import org.ragwortrun.proto.ShardResult;
import org.ragwortrun.proto.SpendMark;

/** Tests what a router declares to a shard whose replies are controlled by the test. */
final class ReservationDeclarerTest {
    private static final long TOKENS = 100;
    private static final int HOLD_MS = 12_000;
    private static final Duration MAX_WAIT = Duration.ofSeconds(20);
    private static final long SEVERAL_INTERVALS_MS = 2_000;

    private final ScheduledExecutorService timer = SingleThreadExecutor.timer("test-timer");
    private final FakeBudgetOwners shards = new FakeBudgetOwners();
    private final GrantPool pool = new GrantPool("r@1", Time.system(), PoolSettings.partitionTolerant(HOLD_MS));
    private final ReservationDeclarer declarer = new ReservationDeclarer(pool, shards, timer, "r@1");

    @AfterEach
    void stop() {
        SingleThreadExecutor.stop(timer);
    }

    /**
     * Guards against an idle budget that is no longer declared while declarations of a busy budget follow each other
     * without a pause. If the router were lost, the shard would count the grants of the idle budget as spent.
     */
    @Test
    void declaresIdleBudgetWhileAnotherIsBusy() throws Exception {
        declare("quiet");
        answer(shards.next());
        declare("busy");
        FakeBudgetOwners.Call pending = shards.next();
        declare("busy");
        TimeUnit.MILLISECONDS.sleep(SEVERAL_INTERVALS_MS);
        answer(pending);
        List<String> next = marks(shards.next()).stream()
                .map(m -> m.getBudget().getAccount())
                .toList();
        assertThat(next).containsExactly("quiet", "busy");
    }

    /** Guards against requests that wait until their deadline because one call to their shard never ends. */
    @Test
    void decidesReservationsAfterCallThatNeverEnds() throws Exception {
        CompletableFuture<Boolean> first = declare("a");
        FakeBudgetOwners.Call lost = shards.next();
        CompletableFuture<Boolean> second = declare("a");
        for (int i = 0; i < 2; i++) {
            answer(shards.next());
        }
        assertThat(first.get(1, TimeUnit.SECONDS)).isTrue();
        assertThat(second.get(1, TimeUnit.SECONDS)).isTrue();
        assertThat(lost.result().isDone()).isFalse();
    }

    private CompletableFuture<Boolean> declare(String account) {
        BudgetRef budget =
                BudgetRef.newBuilder().setAccount(account).setService("*").build();
        CompletableFuture<Boolean> allowed = new CompletableFuture<>();
        declarer.declare(reserve(budget), MAX_WAIT, allowed::complete);
        return allowed;
    }

    private Reservation reserve(BudgetRef budget) {
        ReserveResult result = pool.reserve(budget, TOKENS);
        if (result instanceof ReserveResult.GrantNeeded more) {
            RequestGrant request = more.request().orElseThrow();
            pool.applyGrantResult(
                    request,
                    GrantResult.newBuilder()
                            .setOutcome(GrantResult.Outcome.GRANTED)
                            .setAmount(TOKENS * TOKENS)
                            .build());
            result = pool.retryReserve(budget, TOKENS);
        }
        return ((ReserveResult.Reserved) result).reservation();
    }

    private static List<SpendMark> marks(FakeBudgetOwners.Call call) {
        return call.command().getSettle().getMarksList();
    }

    private static void answer(FakeBudgetOwners.Call call) {
        call.result()
                .complete(ShardResult.newBuilder()
                        .setSettled(Settled.getDefaultInstance())
                        .build());
    }
}
