package org.ragwortrun.router.internal.ledger;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.ragwortrun.core.concurrent.Duty;
import org.ragwortrun.core.time.Time;
import org.ragwortrun.ledger.GrantPool;
import org.ragwortrun.ledger.PoolSettings;
import org.ragwortrun.ledger.Reservation;
import org.ragwortrun.ledger.ReserveResult;
import org.ragwortrun.proto.BudgetRef;
import org.ragwortrun.proto.GrantResult;
import org.ragwortrun.proto.RequestGrant;
import org.ragwortrun.proto.Settled;
import org.ragwortrun.proto.ShardCommand;
import org.ragwortrun.proto.ShardResult;
import org.ragwortrun.proto.SpendMark;

/** What a router declares to the owner of its budgets, whose answers the test gives. */
final class ReservationDeclarerTest {
    private static final long TOKENS = 100;
    private static final int HOLD_MS = 12_000;
    private static final Duration MOST = Duration.ofSeconds(20);
    private static final long BEATS_MS = 2_000;

    private final ScheduledExecutorService timer = Duty.timer("test-timer");
    private final Owner owner = new Owner();
    private final GrantPool pool = new GrantPool("r@1", Time.system(), PoolSettings.outlasting(HOLD_MS));
    private final ReservationDeclarer declarations = new ReservationDeclarer(pool, owner, timer, "r@1");

    @AfterEach
    void stop() {
        Duty.stop(timer);
    }

    /**
     * Load: one busy budget, whose declarations follow each other without a pause, beside a quiet one. Guards against an
     * owner that has heard nothing of the quiet budget for long and, when the router is lost, counts its grants as spent.
     */
    @Test
    void aQuietBudgetIsDeclaredBesideABusyOne() throws Exception {
        declare("quiet");
        owner.answer();
        declare("busy");
        Call underWay = owner.next();
        declare("busy");
        TimeUnit.MILLISECONDS.sleep(BEATS_MS);
        underWay.answer();
        List<String> next = owner.next().marks().stream()
                .map(m -> m.getBudget().getAccount())
                .toList();
        assertThat(next).containsExactly("quiet", "busy");
    }

    private void declare(String account) {
        BudgetRef budget =
                BudgetRef.newBuilder().setAccount(account).setService("*").build();
        declarations.declare(reserve(budget), MOST, allowed -> {});
    }

    private Reservation reserve(BudgetRef budget) {
        ReserveResult result = pool.reserve(budget, TOKENS);
        if (result instanceof ReserveResult.NeedMore more) {
            RequestGrant ask = more.ask().orElseThrow();
            pool.granted(
                    ask,
                    GrantResult.newBuilder()
                            .setOutcome(GrantResult.Outcome.GRANTED)
                            .setAmount(TOKENS * TOKENS)
                            .build());
            result = pool.reserveAgain(budget, TOKENS);
        }
        return ((ReserveResult.Reserved) result).reservation();
    }

    /** A declaration and its answer. */
    private record Call(List<SpendMark> marks, CompletableFuture<ShardResult> reply) {
        void answer() {
            reply.complete(ShardResult.newBuilder()
                    .setSettled(Settled.getDefaultInstance())
                    .build());
        }
    }

    private static final class Owner implements BudgetOwners {
        private final BlockingQueue<Call> calls = new LinkedBlockingQueue<>();

        @Override
        public int groupOf(BudgetRef budget) {
            return 1;
        }

        @Override
        public boolean isPartitioned() {
            return false;
        }

        @Override
        public CompletableFuture<ShardResult> send(int group, ShardCommand.Builder command, Duration timeout) {
            Call call = new Call(command.getSettle().getMarksList(), new CompletableFuture<>());
            calls.add(call);
            return call.reply();
        }

        Call next() throws InterruptedException {
            Call call = calls.poll(MOST.toSeconds(), TimeUnit.SECONDS);
            if (call == null) {
                throw new AssertionError("nothing was declared");
            }
            return call;
        }

        void answer() throws InterruptedException {
            next().answer();
        }
    }
}
