package org.ragwortrun.agent;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.concurrent.atomic.AtomicInteger;
import org.ragwortrun.core.concurrent.Closer;

/** An endpoint that keeps its connections open and whose answers are written byte by byte by a script of the test. */
final class ScriptedEndpoint implements AutoCloseable {
    private static final String HEALTHY = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";

    /** Answers one request. Requests without an id are health checks and queries of the agent, which get the same answer. */
    @FunctionalInterface
    interface Script {
        void answer(String requestId, OutputStream out) throws IOException, InterruptedException;
    }

    private final Closer closer = new Closer();
    private final ServerSocket server;
    private final Script script;
    private final AtomicInteger reuses = new AtomicInteger();
    private volatile String healthAnswer = HEALTHY;

    ScriptedEndpoint(Script script) throws IOException {
        this.script = script;
        server = closer.register(new ServerSocket(0, 64, InetAddress.getLoopbackAddress()));
        start(this::accept);
    }

    static void write(OutputStream out, String text) throws IOException {
        out.write(text.getBytes(StandardCharsets.US_ASCII));
        out.flush();
    }

    String url() {
        return "http://127.0.0.1:" + server.getLocalPort();
    }

    /** Returns how many requests came on a connection that had carried one before. */
    int reuses() {
        return reuses.get();
    }

    void answerHealthChecksWith(String answer) {
        healthAnswer = answer;
    }

    @Override
    public void close() {
        closer.close();
    }

    private void accept() {
        while (!server.isClosed()) {
            try {
                Socket s = closer.register(server.accept());
                start(() -> serve(s));
            } catch (IOException e) {
                return;
            }
        }
    }

    private void serve(Socket s) {
        try (s) {
            BufferedReader in =
                    new BufferedReader(new InputStreamReader(s.getInputStream(), StandardCharsets.US_ASCII));
            if (answer(in, s.getOutputStream())) {
                while (answer(in, s.getOutputStream())) {
                    reuses.incrementAndGet();
                }
            }
        } catch (IOException e) {
            // The agent has closed the connection.
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Answers one request and returns whether there was one. */
    private boolean answer(BufferedReader in, OutputStream out) throws IOException, InterruptedException {
        String target = in.readLine();
        if (target == null) {
            return false;
        }
        String id = "";
        int bodyLength = 0;
        for (String line = in.readLine(); line != null && !line.isEmpty(); line = in.readLine()) {
            String[] field = line.split(": *", 2);
            switch (field[0].toLowerCase(Locale.ROOT)) {
                case "x-request-id" -> id = field[1];
                case "content-length" -> bodyLength = Integer.parseInt(field[1]);
                default -> {
                    // The other fields do not matter here.
                }
            }
        }
        for (int i = 0; i < bodyLength; i++) {
            in.read();
        }
        if (id.isEmpty()) {
            write(out, healthAnswer);
        } else {
            script.answer(id, out);
        }
        return true;
    }

    private static void start(Runnable task) {
        Thread t = new Thread(task, "scripted-endpoint");
        t.setDaemon(true);
        t.start();
    }
}
