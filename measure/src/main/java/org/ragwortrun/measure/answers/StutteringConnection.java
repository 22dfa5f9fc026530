package org.ragwortrun.measure.answers;

import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.util.Arrays;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.apache.commons.rng.UniformRandomProvider;

/** Serves one connection of an endpoint. */
final class StutteringConnection implements Runnable {
    private static final ExtraTime[] TIMES = ExtraTime.values();
    private static final int MOST_PAUSE_MS = 12;
    private static final int MOST_WORK_MS = 25;

    private final Socket socket;
    private final UniformRandomProvider random;
    private final double faultShare;
    private final AnswerFactory answers;
    private final EndpointRecord record;
    private final Transcript transcript = new Transcript();
    // Bytes of an extra answer that wait for the first byte of the next request, and for the rest of it.
    private Optional<Wire> owed = Optional.empty();
    private byte[] rest = new byte[0];

    StutteringConnection(
            Socket socket,
            UniformRandomProvider random,
            double faultShare,
            AnswerFactory answers,
            EndpointRecord record) {
        this.socket = socket;
        this.random = random;
        this.faultShare = faultShare;
        this.answers = answers;
        this.record = record;
    }

    @Override
    public void run() {
        try (socket) {
            socket.setTcpNoDelay(true);
            HttpInput in = new HttpInput(socket.getInputStream());
            boolean open = true;
            while (open) {
                open = serve(in);
            }
            end();
        } catch (IOException e) {
            // The router closed the connection, as it does after a fault or when its caller left.
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private boolean serve(HttpInput in) throws IOException, InterruptedException {
        EndpointRequest request = read(in);
        if (request.id().isEmpty()) {
            write(Wire.ascii("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"));
            return true;
        }
        boolean readsFirst = random.nextInt(6) > 0;
        if (readsFirst) {
            in.bytes(request.bodyLength());
        }
        write(rest);
        rest = new byte[0];
        Answer answer = answers.answerTo(request, random);
        if (answer.status() != 503) {
            record.onRun(request.id());
        }
        pause(MOST_WORK_MS);
        ExtraTime time =
                random.nextDouble() < faultShare ? TIMES[1 + random.nextInt(TIMES.length - 1)] : ExtraTime.NEVER;
        record.onExtra(time);
        write(answer, time);
        if (!readsFirst) {
            in.bytes(request.bodyLength());
        }
        return answer.framing() != Framing.UNTIL_CLOSE && (time == ExtraTime.NEVER || random.nextInt(6) > 0);
    }

    private EndpointRequest read(HttpInput in) throws IOException, InterruptedException {
        String first = in.bytes(1);
        if (owed.isPresent()) {
            Wire extra = owed.orElseThrow();
            owed = Optional.empty();
            extra.recordIn(record, transcript);
            byte[] bytes = extra.bytes();
            int middle = random.nextBoolean() ? bytes.length : random.nextInt(bytes.length);
            write(Arrays.copyOf(bytes, middle));
            rest = Arrays.copyOfRange(bytes, middle, bytes.length);
        }
        String[] line = (first + in.line()).split(" ");
        Map<String, String> headers = in.headers();
        return new EndpointRequest(
                line[0],
                line[1],
                headers.getOrDefault("x-request-id", ""),
                Integer.parseInt(headers.getOrDefault("content-length", "0")));
    }

    private void write(Answer answer, ExtraTime time) throws IOException, InterruptedException {
        if (time == ExtraTime.NEVER) {
            writeSegments(answer, Integer.MAX_VALUE);
            return;
        }
        Answer extra = answers.extra(answer, random);
        switch (time) {
            case BEFORE_ANSWER -> {
                writeSegments(extra, cut(extra));
                pause(MOST_PAUSE_MS);
                writeSegments(answer, Integer.MAX_VALUE);
            }
            case SAME_SEGMENT -> {
                Wire wire = new Wire();
                wire.add(answer, Integer.MAX_VALUE);
                wire.add(extra, cut(extra));
                write(wire);
            }
            case WHILE_IDLE -> {
                writeSegments(answer, Integer.MAX_VALUE);
                pause(MOST_PAUSE_MS);
                writeSegments(extra, cut(extra));
            }
            case WITHIN_NEXT_REQUEST -> {
                writeSegments(answer, Integer.MAX_VALUE);
                Wire wire = new Wire();
                wire.add(extra, cut(extra));
                owed = Optional.of(wire);
            }
            case WITHIN_ANSWER -> {
                writeSegments(answer, answer.head().length);
                writeSegments(extra, cut(extra));
                write(answer.bodyBytes());
            }
            default -> {
                writeSegments(answer, cut(answer));
                writeSegments(extra, Integer.MAX_VALUE);
            }
        }
    }

    /** Returns after how many bytes an answer is cut: anywhere in its head, anywhere in its body, or not at all. */
    private int cut(Answer answer) {
        int head = answer.head().length;
        int draw = random.nextInt(4);
        if (draw < 2) {
            return 1 + random.nextInt(head);
        }
        return draw == 2 ? head + random.nextInt(answer.bodyBytes().length + 1) : Integer.MAX_VALUE;
    }

    private void writeSegments(Answer answer, int most) throws IOException, InterruptedException {
        Wire wire = new Wire();
        wire.add(answer, most);
        write(wire);
    }

    private void write(Wire wire) throws IOException, InterruptedException {
        wire.recordIn(record, transcript);
        byte[] bytes = wire.bytes();
        int from = 0;
        int segments = random.nextInt(4) == 0 ? 1 + random.nextInt(3) : 0;
        for (int i = 0; i < segments && bytes.length - from > 1; i++) {
            int to = from + 1 + random.nextInt(bytes.length - from - 1);
            write(Arrays.copyOfRange(bytes, from, to));
            pause(MOST_PAUSE_MS);
            from = to;
        }
        write(Arrays.copyOfRange(bytes, from, bytes.length));
    }

    private void write(byte[] bytes) throws IOException {
        OutputStream out = socket.getOutputStream();
        out.write(bytes);
        out.flush();
        transcript.add(bytes);
    }

    /** Ends the connection by a close, by a half close or by a reset. */
    private void end() throws IOException, InterruptedException {
        int draw = random.nextInt(3);
        if (draw == 0) {
            socket.setSoLinger(true, 0);
            return;
        }
        transcript.endCleanly();
        if (draw == 1) {
            socket.shutdownOutput();
            TimeUnit.MILLISECONDS.sleep(MOST_PAUSE_MS);
        }
    }

    private void pause(int mostMs) throws InterruptedException {
        TimeUnit.MILLISECONDS.sleep(random.nextInt(mostMs + 1));
    }
}
