package org.ragwortrun.router.internal.agents;

import static com.google.common.truth.Truth.assertThat;
import static java.nio.charset.StandardCharsets.ISO_8859_1;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

final class HostListPollerTest {
    private static final long BYTE_INTERVAL_MS = 50;
    private static final long TIMEOUT_S = 6;

    /** Guards against a stale entry that takes a host out of service again after it has restarted. */
    @Test
    void reportsOnlyHostsThatAreNewlyLeaving(@TempDir Path folder) throws Exception {
        Path file = folder.resolve("hosts.json");
        List<Set<String>> reported = new ArrayList<>();
        HostListPoller list = new HostListPoller(file.toString(), reported::add);
        write(file, "live", "live");
        list.run();
        write(file, "leaving", "live");
        list.run();
        list.run();
        Files.writeString(file, "{broken");
        list.run();
        Files.delete(file);
        list.run();
        write(file, "leaving", "leaving");
        list.run();
        write(file, "live", "live");
        list.run();
        write(file, "leaving", "live");
        list.run();
        assertThat(reported)
                .containsExactly(Set.of("a"), Set.of("b"), Set.of("a"))
                .inOrder();
    }

    /** Guards against one odd entry that makes the list unreadable. */
    @Test
    void readsOtherEntriesBesideOddOne(@TempDir Path folder) throws Exception {
        Path file = folder.resolve("hosts.json");
        List<Set<String>> reported = new ArrayList<>();
        Files.writeString(
                file,
                "{\"hosts\":[{\"name\":" + "[".repeat(2_000) + "]".repeat(2_000) + "},"
                        + "{\"name\":\"a\",\"state\":\"leaving\"}]}");
        new HostListPoller(file.toString(), reported::add).run();
        assertThat(reported).containsExactly(Set.of("a"));
    }

    /** Guards against a poller that hangs forever because the server of the list sends one byte at a time. */
    @Test
    void timesOutOnSlowResponse() throws Exception {
        try (ServerSocket server = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            Thread sender = new Thread(() -> sendSlowly(server), "list-in-trouble");
            sender.setDaemon(true);
            sender.start();
            HostListPoller list = new HostListPoller("http://127.0.0.1:" + server.getLocalPort(), h -> {});
            CompletableFuture.runAsync(list).get(TIMEOUT_S, TimeUnit.SECONDS);
        }
    }

    private static void sendSlowly(ServerSocket server) {
        try (Socket s = server.accept()) {
            s.getOutputStream().write("HTTP/1.1 200 OK\r\nContent-Length: 1000000\r\n\r\n".getBytes(ISO_8859_1));
            while (!s.isClosed()) {
                s.getOutputStream().write(' ');
                TimeUnit.MILLISECONDS.sleep(BYTE_INTERVAL_MS);
            }
        } catch (IOException e) {
            // The poller has closed the connection.
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private static void write(Path file, String a, String b) throws Exception {
        Files.writeString(
                file,
                "{\"hosts\":[{\"name\":\"a\",\"state\":\"" + a + "\"},{\"name\":\"b\",\"state\":\"" + b + "\"}]}");
    }
}
