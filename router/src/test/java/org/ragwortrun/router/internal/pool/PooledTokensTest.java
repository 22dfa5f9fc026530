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
import org.ragwortrun.core.concurrent.Duty;
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

/** A router and the home of its accounts, with frames between them. */
final class PooledTokensTest {
    private static final BudgetRef BUDGET =
            BudgetRef.newBuilder().setAccount("a").setService("*").build();
    private static final Duration LONGEST = Duration.ofSeconds(1);

    private final Closer closer = new Closer();
    private final Tokens home = new Tokens();
    private final Tokens own = new Tokens();
    private final AtomicLong homeNanos = new AtomicLong(1);
    private HomeServer server;
    private FrameServer listener;
    private PooledTokens pooled;

    /** Reservations that a test answers, and what became of them. */
    private static final class Tokens implements TokenSource {
        private final BlockingQueue<CompletableFuture<Spending>> asked = new LinkedBlockingQueue<>();
        private final BlockingQueue<String> ended = new LinkedBlockingQueue<>();

        @Override
        public CompletableFuture<Spending> reserve(BudgetRef budget, long tokens, String requestId, Duration longest) {
            CompletableFuture<Spending> answer = new CompletableFuture<>();
            asked.add(answer);
            return answer;
        }

        Spending spending() {
            return new Spending() {
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

        CompletableFuture<Spending> next() throws InterruptedException {
            return asked.poll(5, TimeUnit.SECONDS);
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
        PeerLinks links = closer.register(new PeerLinks(transport("r")));
        List<RouterPeer> routers = new ArrayList<>();
        for (RouterPeer p : HomeRoutersTest.fleet(12, 1)) {
            routers.add(new RouterPeer(p.name(), p.dataCenter(), new Address("127.0.0.1", listener.port())));
        }
        links.update(routers);
        ScheduledExecutorService timer = Duty.timer("test");
        closer.register(() -> Duty.stop(timer));
        pooled = new PooledTokens("asking", "asking@1", own, links, timer, Time.system());
        // The first call opens the connection and is answered from the own grants meanwhile.
        for (int i = 0; i < 500 && home.asked.isEmpty(); i++) {
            pooled.reserve(BUDGET, 1, "warm", LONGEST);
            Thread.sleep(10);
        }
        home.next().complete(home.spending());
        own.asked.clear();
    }

    @AfterEach
    void stop() {
        closer.close();
    }

    /** Guards against a bill that is lost, doubled or taken from another grant than the reservation's. */
    @Test
    void reservesAndBillsAtTheHome() throws Exception {
        CompletableFuture<Spending> reserved = pooled.reserve(BUDGET, 100, "q1", LONGEST);
        home.next().complete(home.spending());
        Spending spending = reserved.get(5, TimeUnit.SECONDS);
        spending.bill(Usage.newBuilder().setBudget(BUDGET).setRequestId("q1").setTokens(70));
        spending.release();
        assertThat(home.nextEnd()).isEqualTo("billed 70 for q1");
        homeNanos.addAndGet(TimeUnit.MINUTES.toNanos(1));
        server.run();
        assertThat(home.ended).doesNotContain("billed 100 for q1");
        assertThat(own.asked).isEmpty();
    }

    @Test
    void passesOnWhatTheHomeRefuses() throws Exception {
        CompletableFuture<Spending> reserved = pooled.reserve(BUDGET, 100, "q1", LONGEST);
        home.next()
                .completeExceptionally(new RefusedException(
                        Refusal.notRun(RefusalReason.BUDGET_HELD, "held", Duration.ofMillis(300))));
        ExecutionException e = assertThrows(ExecutionException.class, () -> reserved.get(5, TimeUnit.SECONDS));
        assertThat(e).hasCauseThat().isInstanceOf(RefusedException.class);
        Refusal refusal = ((RefusedException) e.getCause()).refusal();
        assertThat(refusal.reason()).isEqualTo(RefusalReason.BUDGET_HELD);
        assertThat(refusal.retryAfter()).hasValue(Duration.ofMillis(300));
    }

    /** Guards against tokens that stay set aside at a home whose answer came too late. */
    @Test
    void goesOnWithoutAHomeThatIsSilentAndEndsWhatItMayHaveReserved() throws Exception {
        CompletableFuture<Spending> reserved = pooled.reserve(BUDGET, 100, "q1", LONGEST);
        CompletableFuture<Spending> late = home.next();
        own.next().complete(own.spending());
        reserved.get(5, TimeUnit.SECONDS).release();
        assertThat(own.nextEnd()).isEqualTo("released");
        late.complete(home.spending());
        assertThat(home.nextEnd()).isEqualTo("released");
        CompletableFuture<Spending> soonAfter = pooled.reserve(BUDGET, 100, "q2", LONGEST);
        own.next().complete(own.spending());
        assertThat(soonAfter.get(5, TimeUnit.SECONDS)).isNotNull();
    }

    /** Guards against overspending: what a lost router had reserved may have been used. */
    @Test
    void countsAllAsUsedWhenTheRouterIsLost() throws Exception {
        CompletableFuture<Spending> reserved = pooled.reserve(BUDGET, 100, "q1", LONGEST);
        home.next().complete(home.spending());
        reserved.get(5, TimeUnit.SECONDS);
        homeNanos.addAndGet(LONGEST.toNanos());
        server.run();
        assertThat(home.ended).isEmpty();
        homeNanos.addAndGet(TimeUnit.SECONDS.toNanos(11));
        server.run();
        assertThat(List.of(home.nextEnd(), home.nextEnd())).contains("billed 100 for q1");
    }

    @Test
    void aHomeThatStopsTakesNoMore() throws Exception {
        server.stop();
        CompletableFuture<Spending> reserved = pooled.reserve(BUDGET, 100, "q1", LONGEST);
        own.next().complete(own.spending());
        assertThat(reserved.get(5, TimeUnit.SECONDS)).isNotNull();
        assertThat(home.asked).isEmpty();
    }

    private Transport transport(String name) {
        return closer.register(new Transport(Hello.newBuilder().setName(name).build(), 1));
    }
}
