package org.ragwortrun.agent;

import static com.google.common.truth.Truth.assertThat;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.ragwortrun.core.concurrent.Closer;
import org.ragwortrun.proto.Finished;

/** Tests an endpoint that passes its health checks and answers other requests with bytes without end. */
final class EndlessAnswerTest {
    private static final int BLOCK_REPETITIONS = 200;
    private static final int BLOCKS = 4_000;

    private final Closer closer = new Closer();

    @AfterEach
    void stop() {
        closer.close();
    }

    /** Guards against an agent whose memory fills with the head of one answer, or that reads it until the deadline. */
    @ParameterizedTest
    @ValueSource(strings = {"HTTP/1.1 200 OK\r\nX: y", "X: y\r\n", "HTTP/1.1 100 Continue\r\n\r\n", "\r\n"})
    void failsRequestSoon(String bytes) throws Exception {
        ServerSocket server = closer.register(new ServerSocket(0, 16, InetAddress.getLoopbackAddress()));
        start(() -> accept(server, bytes));
        AgentFixture fixture = closer.register(
                new AgentFixture("plain", "http://127.0.0.1:" + server.getLocalPort(), Map.of("slots", "4"), Map.of()));
        long begin = System.nanoTime();
        Finished finished = fixture.send(fixture.connect(), fixture.order("o1").setDeadlineMs(8_000))
                .finished();
        assertThat(finished.getFailure()).isEqualTo("endpoint-failed");
        assertThat(System.nanoTime() - begin).isLessThan(TimeUnit.SECONDS.toNanos(4));
    }

    private static void accept(ServerSocket server, String bytes) {
        while (!server.isClosed()) {
            try {
                Socket s = server.accept();
                start(() -> serve(s, bytes));
            } catch (IOException e) {
                return;
            }
        }
    }

    private static void serve(Socket s, String bytes) {
        try (s) {
            BufferedReader in =
                    new BufferedReader(new InputStreamReader(s.getInputStream(), StandardCharsets.US_ASCII));
            String request = in.readLine();
            OutputStream out = s.getOutputStream();
            if (request != null && request.startsWith("GET")) {
                out.write("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
                return;
            }
            byte[] block = bytes.repeat(BLOCK_REPETITIONS).getBytes(StandardCharsets.US_ASCII);
            out.write(bytes.startsWith("X") ? "HTTP/1.1 200 OK\r\n".getBytes(StandardCharsets.US_ASCII) : new byte[0]);
            for (int i = 0; i < BLOCKS; i++) {
                out.write(block);
                TimeUnit.MILLISECONDS.sleep(1);
            }
        } catch (IOException e) {
            // The agent has closed the connection.
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private static void start(Runnable task) {
        Thread t = new Thread(task, "endless-endpoint");
        t.setDaemon(true);
        t.start();
    }
}
