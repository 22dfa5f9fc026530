package org.ragwortrun.router.internal.forward;

import static com.google.common.truth.Truth.assertThat;

import com.fasterxml.jackson.databind.ObjectMapper;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOutboundHandlerAdapter;
import io.netty.channel.ChannelPromise;
import io.netty.channel.DefaultEventLoop;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpRequest;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpVersion;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.ragwortrun.core.concurrent.Closer;
import org.ragwortrun.core.concurrent.StandstillMonitor;
import org.ragwortrun.core.config.CallerLimits;
import org.ragwortrun.core.metrics.Metrics;
import org.ragwortrun.core.time.Time;
import org.ragwortrun.router.internal.evidence.EvidenceCollector;
import org.ragwortrun.router.internal.evidence.PartQuarantine;
import org.ragwortrun.router.internal.host.HostGuard;
import org.ragwortrun.router.internal.http.ProblemWriter;
import org.ragwortrun.router.internal.limits.PermitSource;
import org.ragwortrun.routing.EndpointLimit;

/** Checks which requests a caller's connection handles when data and a close arrive together. */
final class CallerConnectionTest {
    private static final long MAX_HELD_BYTES = 1 << 20;

    private final Closer closer = new Closer();
    private final FakeConfigurationSource configuration = new FakeConfigurationSource();
    private final Deque<Runnable> tasks = new ArrayDeque<>();
    private final EmbeddedChannel channel = connection();

    @AfterEach
    void stop() {
        channel.finishAndReleaseAll();
        closer.close();
    }

    @Test
    void handlesRequestAfterAllReceivedDataIsRead() {
        request();
        assertThat(configuration.reads).isEqualTo(0);
        runTasks();
        assertThat(configuration.reads).isGreaterThan(0);
        HttpResponse answer = channel.readOutbound();
        assertThat(answer.status().code()).isEqualTo(503);
        assertThat(Double.parseDouble(answer.headers().get("Retry-After"))).isAtLeast(1.0);
    }

    /** Guards against handling a request whose caller disconnected while the request waited. */
    @Test
    void dropsRequestWhoseCallerHasClosed() {
        request();
        channel.pipeline().fireChannelInactive();
        runTasks();
        assertThat(configuration.reads).isEqualTo(0);
    }

    /** Guards against a second answer after one that closes the connection and is not written completely yet. */
    @Test
    void dropsRequestsAfterLastAnswer() {
        List<Object> written = new ArrayList<>();
        channel.pipeline().addFirst(new ChannelOutboundHandlerAdapter() {
            @Override
            public void write(ChannelHandlerContext ctx, Object message, ChannelPromise promise) {
                written.add(message);
            }
        });
        request("Connection", "close");
        request();
        runTasks();
        request();
        runTasks();
        assertThat(written).hasSize(1);
    }

    /** Guards against bodies of callers that fill the memory, and against an upload that is cut without an answer. */
    @Test
    void refusesUploadWhenMemoryIsShort() {
        DefaultHttpRequest head = new DefaultHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.POST, "/x");
        head.headers().set("Host", "h").set("Content-Length", 4 * MAX_HELD_BYTES - 1);
        channel.pipeline().fireChannelRead(head);
        CallerConnection connection = channel.pipeline().get(CallerConnection.class);
        assertThat(connection.heldBytes()).isLessThan(MAX_HELD_BYTES);
        DefaultFullHttpResponse refusal = null;
        for (int i = 0; i < 100 && refusal == null; i++) {
            channel.pipeline()
                    .fireChannelRead(new DefaultHttpContent(Unpooled.buffer().writeZero(64 << 10)));
            assertThat(connection.heldBytes()).isAtMost(2 * MAX_HELD_BYTES);
            refusal = channel.readOutbound();
        }
        assertThat(refusal).isNotNull();
        assertThat(refusal.status().code()).isEqualTo(503);
        assertThat(refusal.headers().contains("Retry-After")).isTrue();
        assertThat(refusal.content().toString(StandardCharsets.UTF_8)).contains("\"run\":\"not run\"");
        assertThat(connection.heldBytes()).isEqualTo(0);
    }

    /** Creates a connection that refuses every request that it handles, because there is no configuration. */
    private EmbeddedChannel connection() {
        DefaultEventLoop loop = new DefaultEventLoop();
        closer.register(() -> loop.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly());
        Metrics metrics = closer.register(Metrics.local());
        Time time = Time.steady();
        ContentQuarantine quarantine = new ContentQuarantine(Map::of, time);
        PartQuarantine parts = new PartQuarantine(Map::of, () -> false, p -> {}, time);
        EvidenceCollector evidence = new EvidenceCollector(null);
        RequestHeaders headers = new RequestHeaders(HeaderNames.STANDARD);
        EndpointTable endpoints = new EndpointTable(
                time,
                e -> {
                    throw new AssertionError("nothing is sent");
                },
                (endpoint, head, current) -> {},
                Duration.ZERO,
                false);
        RequestAdmission admission = new RequestAdmission(
                new ForwardServices(
                        "dc",
                        configuration,
                        new StandstillMonitor(time, metrics),
                        endpoints,
                        new FixedRatePlacement("dc"),
                        new PerformanceTable(false, endpoints),
                        List.of(),
                        new LimitReader(headers, endpoints, metrics, time),
                        new PermitSource() {
                            @Override
                            public void acquire(String endpoint, EndpointLimit limit, Consumer<Boolean> decided) {
                                throw new AssertionError("nothing is sent");
                            }

                            @Override
                            public void report(String endpoint, EndpointLimit limit) {}
                        },
                        new RequestScheduler(false, endpoints, metrics, time, loop, () -> 0),
                        new RetryAllowance(0, () -> 0, 1),
                        (budget, tokens, id, longest) -> new CompletableFuture<>(),
                        evidence,
                        quarantine,
                        parts,
                        new CrashDetector(quarantine, parts, crash -> {}, evidence, metrics, time, loop),
                        headers,
                        metrics,
                        time,
                        loop,
                        tasks::add,
                        () -> 0),
                MAX_HELD_BYTES,
                HostGuard.NONE);
        return new EmbeddedChannel(new CallerConnection(
                admission, () -> CallerLimits.DEFAULTS, new ProblemWriter(new ObjectMapper()), time));
    }

    private void runTasks() {
        for (Runnable task = tasks.poll(); task != null; task = tasks.poll()) {
            task.run();
        }
    }

    private void request() {
        request("Connection", "keep-alive");
    }

    private void request(String field, String value) {
        DefaultFullHttpRequest request = new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.POST, "/x");
        request.headers()
                .set("Host", "h")
                .set(HeaderNames.STANDARD.requestId(), "q1")
                .set(field, value);
        channel.pipeline().fireChannelRead(request);
    }
}
