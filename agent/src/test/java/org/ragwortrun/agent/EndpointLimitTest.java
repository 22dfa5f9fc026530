package org.ragwortrun.agent;

import static com.google.common.truth.Truth.assertThat;

import com.sun.net.httpserver.HttpServer;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.ragwortrun.core.concurrent.Closer;
import org.ragwortrun.net.FrameClient;
import org.ragwortrun.proto.Dispatch;
import org.ragwortrun.proto.Refused;

/** Tests an endpoint behind an agent that names the requests per second that it accepts. */
final class EndpointLimitTest {
    private static final int PER_SECOND = 3;
    private static final long RUN_NANOS = TimeUnit.SECONDS.toNanos(5);
    private static final long WINDOW_NANOS = TimeUnit.SECONDS.toNanos(4);

    private final Closer closer = new Closer();
    private final List<Long> arrivals = new CopyOnWriteArrayList<>();
    private volatile String limit = Integer.toString(PER_SECOND);
    private volatile boolean dropsAnswers;
    private HttpServer server;

    @BeforeEach
    void start() throws Exception {
        server = HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 64);
        ExecutorService threads = Executors.newCachedThreadPool();
        closer.register(threads::shutdownNow);
        server.setExecutor(threads);
        server.createContext("/", e -> {
            if (!"GET".equals(e.getRequestMethod())) {
                arrivals.add(System.nanoTime());
                if (dropsAnswers) {
                    e.close();
                    return;
                }
            }
            if (!limit.isEmpty()) {
                e.getResponseHeaders().set("Ragwortrun-Limit", limit);
            }
            e.sendResponseHeaders(200, -1);
            e.close();
        });
        server.start();
        closer.register(() -> server.stop(0));
    }

    @AfterEach
    void stop() {
        closer.close();
    }

    private AgentFixture agent(Map<String, String> endpoint) throws Exception {
        return closer.register(new AgentFixture(
                "plain",
                "http://127.0.0.1:" + server.getAddress().getPort(),
                endpoint,
                Map.of("endpoint.dedupe-pause", "20ms")));
    }

    /** Guards against an agent that passes on all requests although its endpoint has named a limit. */
    @Test
    void keepsToLimitAndRefusesRestWithTimeOfNextPermit() throws Exception {
        AgentFixture fixture = agent(Map.of("slots", "4"));
        FrameClient router = fixture.connect();
        fixture.send(router, fixture.order("first")).finished();
        long begin = System.nanoTime();
        Refused refused = null;
        for (int i = 0; System.nanoTime() - begin < RUN_NANOS; i++) {
            Dispatch.Builder order = fixture.order("o" + i);
            AnswerReader answer = fixture.send(router, order);
            if (answer.isRefused()) {
                refused = answer.refused();
            }
            TimeUnit.MILLISECONDS.sleep(20);
        }
        assertThat(mostInWindow()).isAtMost(PER_SECOND * 4 + 3);
        assertThat(arrivals.size()).isAtLeast(PER_SECOND * 4);
        assertThat(refused).isNotNull();
        assertThat(refused.getReason()).isEqualTo("endpoint-limited");
        assertThat(refused.getRetryAfterMs()).isAtMost(1_000);
    }

    /** Guards against retries of requests with unknown outcome that exceed the limit. */
    @Test
    void retriesKeepToLimit() throws Exception {
        AgentFixture fixture = agent(Map.of("slots", "4", "dedupe-header", "X-Order-Key"));
        FrameClient router = fixture.connect();
        fixture.send(router, fixture.order("first")).finished();
        dropsAnswers = true;
        long begin = System.nanoTime();
        for (int i = 0; System.nanoTime() - begin < RUN_NANOS; i++) {
            fixture.send(router, fixture.order("o" + i));
            TimeUnit.MILLISECONDS.sleep(20);
        }
        assertThat(mostInWindow()).isAtMost(PER_SECOND * 4 + 3);
    }

    @Test
    void passesAllRequestsOnceLimitHasEnded() throws Exception {
        AgentFixture fixture = agent(Map.of("slots", "4"));
        FrameClient router = fixture.connect();
        fixture.send(router, fixture.order("first")).finished();
        limit = "";
        TimeUnit.MILLISECONDS.sleep(600);
        fixture.send(router, fixture.order("second")).finished();
        for (int i = 0; i < 20; i++) {
            assertThat(fixture.send(router, fixture.order("o" + i)).finished().getFailure())
                    .isEmpty();
        }
    }

    private int mostInWindow() {
        return arrivals.stream()
                .mapToInt(begin -> (int) arrivals.stream()
                        .filter(a -> a >= begin && a - begin < WINDOW_NANOS)
                        .count())
                .max()
                .orElse(0);
    }
}
