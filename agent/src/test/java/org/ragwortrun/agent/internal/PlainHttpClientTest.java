package org.ragwortrun.agent.internal;

import static com.google.common.truth.Truth.assertThat;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.URI;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.apache.hc.core5.http.message.BasicHeader;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.ragwortrun.core.concurrent.Closer;
import org.ragwortrun.core.concurrent.SingleThreadExecutor;
import org.ragwortrun.core.metrics.Metrics;
import org.ragwortrun.core.time.Time;
import org.ragwortrun.proto.Dispatch;

final class PlainHttpClientTest {
    private static final String TIMER = "test-timer";
    private static final Duration TIMEOUT = Duration.ofSeconds(5);

    private final Closer closer = new Closer();
    private final BlockingQueue<EndpointEvent> ends = new LinkedBlockingQueue<>();

    @AfterEach
    void stop() {
        closer.close();
    }

    /** Guards against a request that never ends, and holds its slot, because its retry failed in an unexpected way. */
    @Test
    void endsCallAfterErrorInRetry() throws Exception {
        ServerSocket server = closer.register(new ServerSocket(0, 1, InetAddress.getLoopbackAddress()));
        new Thread(() -> dropRequests(server), "endpoint").start();
        ScheduledExecutorService timer = SingleThreadExecutor.timer(TIMER);
        closer.register(() -> SingleThreadExecutor.stop(timer));
        HttpEndpoint endpoint = closer.register(
                new HttpEndpoint(URI.create("http://127.0.0.1:" + server.getLocalPort()), TIMEOUT, TIMEOUT));
        EndpointLimitGate limit = new EndpointLimitGate(new FailingTime(), closer.register(Metrics.local()));
        limit.onAnswer(List.of(new BasicHeader("Ragwortrun-Limit", "1000")), 0);
        PlainHttpClient client = new PlainHttpClient(
                endpoint, limit, timer, Time.system(), new PlainHttpClient.RetryPolicy("Key", 1, 1));
        client.start(
                Dispatch.newBuilder()
                        .setMethod("POST")
                        .setPath("/")
                        .setRequestId("q1")
                        .build(),
                new EndpointListener() {
                    @Override
                    public void onEvent(EndpointEvent event) {
                        if (event instanceof EndpointEvent.Failed) {
                            ends.add(event);
                        }
                    }

                    @Override
                    public void onPaused() {}
                });
        assertThat(ends.poll(TIMEOUT.toSeconds(), TimeUnit.SECONDS)).isNotNull();
    }

    private static void dropRequests(ServerSocket server) {
        while (!server.isClosed()) {
            try (Socket caller = server.accept()) {
                caller.getInputStream().read();
            } catch (IOException e) {
                return;
            }
        }
    }

    /** A clock that cannot be read on the timer. */
    private static final class FailingTime implements Time {
        @Override
        public long nanos() {
            if (Thread.currentThread().getName().equals(TIMER)) {
                throw new OutOfMemoryError("test");
            }
            return System.nanoTime();
        }

        @Override
        public long wallMillis() {
            return 0;
        }
    }
}
