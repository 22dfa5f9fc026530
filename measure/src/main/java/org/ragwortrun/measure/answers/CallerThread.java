package org.ragwortrun.measure.answers;

import java.io.EOFException;
import java.io.IOException;
import java.net.InetAddress;
import java.net.Socket;
import java.net.SocketException;
import java.net.SocketTimeoutException;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.IntStream;
import org.apache.commons.rng.UniformRandomProvider;

/** A caller that sends requests on kept connections to one router, sometimes several ahead, and sometimes leaves. */
final class CallerThread implements Runnable {
    /** Time limit of the routes in milliseconds. */
    static final int LIMIT_MS = 1_500;

    private static final int SILENCE_MS = 6_000;
    private static final int MOST_AHEAD = 4;
    private static final int MOST_BODY = 3_000;
    private static final int MOST_IDLE_MS = 25;
    private static final Pattern STATUS_LINE = Pattern.compile("HTTP/1\\.1 (\\d{3}) .*");
    private static final List<String> METHODS = List.of("GET", "GET", "POST", "POST", "HEAD");
    private static final Kind[] KINDS = Kind.values();

    private final String name;
    private final int port;
    private final long endNanos;
    private final UniformRandomProvider random;
    private final CallerRecord record;
    private int requests;

    CallerThread(String name, int port, long endNanos, UniformRandomProvider random, CallerRecord record) {
        this.name = name;
        this.port = port;
        this.endNanos = endNanos;
        this.random = random;
        this.record = record;
    }

    @Override
    public void run() {
        while (System.nanoTime() < endNanos) {
            try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), port)) {
                socket.setSoTimeout(SILENCE_MS);
                socket.setTcpNoDelay(true);
                call(socket);
            } catch (SocketTimeoutException e) {
                record.onSilent();
            } catch (BadAnswerException e) {
                record.onViolation(new Violation("bytes_that_are_no_answer", name + "-" + requests, e.toString()));
            } catch (IOException e) {
                // The router closed the connection, and the caller opens another one.
                continue;
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
                return;
            }
        }
    }

    private void call(Socket socket) throws IOException, InterruptedException {
        HttpInput in = new HttpInput(socket.getInputStream());
        boolean open = true;
        while (open && System.nanoTime() < endNanos) {
            List<CallerRequest> batch = batch();
            batch.forEach(r -> record.onSent(r.id(), r.kind()));
            StringBuilder text = new StringBuilder();
            batch.forEach(r -> text.append(r.text()));
            socket.getOutputStream().write(Wire.ascii(text.toString()));
            if (random.nextInt(25) == 0) {
                TimeUnit.MILLISECONDS.sleep(random.nextInt(MOST_IDLE_MS));
                batch.forEach(r -> record.onLeft(r.id()));
                return;
            }
            for (int i = 0; i < batch.size() && open; i++) {
                open = read(in, batch.get(i));
            }
            if (open) {
                TimeUnit.MILLISECONDS.sleep(random.nextInt(MOST_IDLE_MS));
                checkIdle(in);
            }
        }
    }

    private List<CallerRequest> batch() {
        int ahead = random.nextInt(4) == 0 ? 2 + random.nextInt(MOST_AHEAD - 1) : 1;
        return IntStream.range(0, ahead).mapToObj(i -> next()).toList();
    }

    private CallerRequest next() {
        requests++;
        return new CallerRequest(
                name + "-" + requests,
                KINDS[random.nextInt(KINDS.length)],
                METHODS.get(random.nextInt(METHODS.size())),
                random.nextInt(MOST_BODY));
    }

    private void checkIdle(HttpInput in) throws IOException {
        if (in.hasBytes()) {
            record.onViolation(new Violation("answers_without_a_request", name + "-" + requests, in.line()));
        }
    }

    /** Reads the answer to a request and returns whether the connection may be used again. */
    private boolean read(HttpInput in, CallerRequest request) throws IOException {
        int status = status(in);
        Map<String, String> headers = in.headers();
        while (status < 200) {
            status = status(in);
            headers = in.headers();
        }
        boolean head = request.method().equals("HEAD");
        try {
            String body = body(in, headers, head || status == 204 || status == 304);
            record.onSeen(new SeenAnswer(request.id(), request.kind(), head, status, headers, body, true));
        } catch (EOFException | SocketException e) {
            // The answer ended early, as that of the endpoint may have.
            record.onSeen(new SeenAnswer(request.id(), request.kind(), head, status, headers, "", false));
            return false;
        }
        return !headers.getOrDefault("connection", "").equalsIgnoreCase("close");
    }

    private static int status(HttpInput in) throws IOException {
        String line = in.line();
        Matcher status = STATUS_LINE.matcher(line);
        if (!status.matches()) {
            throw new BadAnswerException("not a status line: " + line);
        }
        return Integer.parseInt(status.group(1));
    }

    private static String body(HttpInput in, Map<String, String> headers, boolean none) throws IOException {
        if (none) {
            return "";
        }
        if (headers.getOrDefault("transfer-encoding", "").equalsIgnoreCase("chunked")) {
            return in.chunks();
        }
        return headers.containsKey("content-length")
                ? in.bytes(Integer.parseInt(headers.get("content-length")))
                : in.rest();
    }
}
