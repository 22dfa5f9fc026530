package org.ragwortrun.router.internal.pool;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.ragwortrun.core.concurrent.Closer;
import org.ragwortrun.core.concurrent.SingleThreadExecutor;
import org.ragwortrun.core.refusal.Refusal;
import org.ragwortrun.core.refusal.RefusalReason;
import org.ragwortrun.core.refusal.RefusedException;
import org.ragwortrun.core.time.Time;
import org.ragwortrun.net.Address;
import org.ragwortrun.net.FrameServer;
import org.ragwortrun.net.Transport;
import org.ragwortrun.proto.BudgetRef;
import org.ragwortrun.proto.Hello;
import org.ragwortrun.proto.Usage;

/** Tests a router and the home of its accounts over a real connection. */
final class PooledTokensTest {
    private static final BudgetRef BUDGET =
            BudgetRef.newBuilder().setAccount("a").setService("*").build();
    private static final Duration MAX_DURATION = Duration.ofSeconds(1);

    private final Closer closer = new Closer();
    private final FakeTokenSource home = new FakeTokenSource();
    private final FakeTokenSource own = new FakeTokenSource();
    private final AtomicLong homeNanos = new AtomicLong(1);
    private HomeServer server;
    private FrameServer listener;
    private PooledTokens pooled;

    /** Token source whose reservations are answered by the test, and which records how they end. */
    private static final class FakeTokenSource implements TokenSource {
        private final BlockingQueue<CompletableFuture<TokenReservation>> requests = new LinkedBlockingQueue<>();
        private final BlockingQueue<String> ended = new LinkedBlockingQueue<>();

        @Override
        public CompletableFuture<TokenReservation> reserve(
                BudgetRef budget, long tokens, String requestId, Duration maxDuration) {
            CompletableFuture<TokenReservation> answer = new CompletableFuture<>();
            requests.add(answer);
            return answer;
        }

        TokenReservation reservation() {
            return new TokenReservation() {
                @Override
                public void bill(Usage.Builder usage) {
                    ended.add("billed " + usage.getTokens() + " for " + usage.getRequestId());
                }

                @Override
                public void release() {
                    ended.add("released");
                }
            };
        }

        CompletableFuture<TokenReservation> next() throws InterruptedException {
            return requests.poll(5, TimeUnit.SECONDS);
        }

        String nextEnd() throws InterruptedException {
            return ended.poll(5, TimeUnit.SECONDS);
        }
    }

    @BeforeEach
    void start() throws Exception {
        Time time = new Time() {
            @Override
            public long nanos() {
                return homeNanos.get();
            }

            @Override
            public long wallMillis() {
                return 0;
            }
        };
        server = new HomeServer(home, time);
        listener = closer.register(transport("home").listen(new Address("127.0.0.1", 0), server));
        PeerLinks links = closer.register(new PeerLinks("r", transport("r"), (p, f) -> {}));
        List<RouterPeer> routers = new ArrayList<>();
        for (RouterPeer p : HomeRoutersTest.fleet(12, 1)) {
            routers.add(new RouterPeer(p.name(), p.dataCenter(), new Address("127.0.0.1", listener.port())));
        }
        links.update(routers);
        ScheduledExecutorService timer = SingleThreadExecutor.timer("test");
        closer.register(() -> SingleThreadExecutor.stop(timer));
        pooled = new PooledTokens("asking", "asking@1", own, links, timer, Time.system());
        // The first call opens the connection; until it is open, the own grants are used.
        for (int i = 0; i < 500 && home.requests.isEmpty(); i++) {
            pooled.reserve(BUDGET, 1, "warm", MAX_DURATION);
            Thread.sleep(10);
        }
        home.next().complete(home.reservation());
        own.requests.clear();
    }

    @AfterEach
    void stop() {
        closer.close();
    }

    /** Guards against a bill that is lost, duplicated or charged to another grant than that of the reservation. */
    @Test
    void reservesAndBillsAtTheHome() throws Exception {
        CompletableFuture<TokenReservation> reserved = pooled.reserve(BUDGET, 100, "q1", MAX_DURATION);
        home.next().complete(home.reservation());
        TokenReservation reservation = reserved.get(5, TimeUnit.SECONDS);
        reservation.bill(Usage.newBuilder().setBudget(BUDGET).setRequestId("q1").setTokens(70));
        reservation.release();
        assertThat(home.nextEnd()).isEqualTo("billed 70 for q1");
        homeNanos.addAndGet(TimeUnit.MINUTES.toNanos(1));
        server.run();
        assertThat(home.ended).doesNotContain("billed 100 for q1");
        assertThat(own.requests).isEmpty();
    }

    @Test
    void returnsRefusalOfHome() throws Exception {
        CompletableFuture<TokenReservation> reserved = pooled.reserve(BUDGET, 100, "q1", MAX_DURATION);
        home.next()
                .completeExceptionally(new RefusedException(
                        Refusal.notRun(RefusalReason.BUDGET_HELD, "held", Duration.ofMillis(300))));
        ExecutionException e = assertThrows(ExecutionException.class, () -> reserved.get(5, TimeUnit.SECONDS));
        assertThat(e).hasCauseThat().isInstanceOf(RefusedException.class);
        Refusal refusal = ((RefusedException) e.getCause()).refusal();
        assertThat(refusal.reason()).isEqualTo(RefusalReason.BUDGET_HELD);
        assertThat(refusal.retryAfter()).hasValue(Duration.ofMillis(300));
    }

    /** Guards against tokens that stay reserved at a home that answered too late. */
    @Test
    void usesOwnGrantsAndEndsReservationWhenHomeDoesNotAnswer() throws Exception {
        CompletableFuture<TokenReservation> reserved = pooled.reserve(BUDGET, 100, "q1", MAX_DURATION);
        CompletableFuture<TokenReservation> late = home.next();
        own.next().complete(own.reservation());
        reserved.get(5, TimeUnit.SECONDS).release();
        assertThat(own.nextEnd()).isEqualTo("released");
        late.complete(home.reservation());
        assertThat(home.nextEnd()).isEqualTo("released");
        CompletableFuture<TokenReservation> next = pooled.reserve(BUDGET, 100, "q2", MAX_DURATION);
        own.next().complete(own.reservation());
        assertThat(next.get(5, TimeUnit.SECONDS)).isNotNull();
    }

    /** Guards against overspending: tokens that a lost router reserved may have been used. */
    @Test
    void billsAllReservedTokensWhenRouterIsLost() throws Exception {
        CompletableFuture<TokenReservation> reserved = pooled.reserve(BUDGET, 100, "q1", MAX_DURATION);
        home.next().complete(home.reservation());
        reserved.get(5, TimeUnit.SECONDS);
        homeNanos.addAndGet(MAX_DURATION.toNanos());
        server.run();
        assertThat(home.ended).isEmpty();
        homeNanos.addAndGet(TimeUnit.SECONDS.toNanos(11));
        server.run();
        assertThat(List.of(home.nextEnd(), home.nextEnd())).contains("billed 100 for q1");
    }

    @Test
    void stoppingHomeRefusesReservations() throws Exception {
        server.stop();
        CompletableFuture<TokenReservation> reserved = pooled.reserve(BUDGET, 100, "q1", MAX_DURATION);
        own.next().complete(own.reservation());
        assertThat(reserved.get(5, TimeUnit.SECONDS)).isNotNull();
        assertThat(home.requests).isEmpty();
    }

    private Transport transport(String name) {
        return closer.register(new Transport(Hello.newBuilder().setName(name).build(), 1));
    }
}
