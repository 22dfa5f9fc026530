package org.ragwortrun.measure.answers;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.function.Predicate;
import org.apache.commons.rng.simple.RandomSource;

/** A stand-in endpoint that keeps connections and writes extra, cut and garbled answers to them. */
final class StutteringEndpoint implements AutoCloseable {
    private static final int BACKLOG = 256;

    private final long seed;
    private final double faultShare;
    private final EndpointRecord record;
    private final AnswerFactory answers;
    private final ServerSocket server;

    StutteringEndpoint(String name, long seed, double faultShare, EndpointRecord record, Predicate<String> hasLeft)
            throws IOException {
        this.seed = seed;
        this.faultShare = faultShare;
        this.record = record;
        answers = new AnswerFactory(name, hasLeft);
        server = new ServerSocket(0, BACKLOG, InetAddress.getLoopbackAddress());
        daemon(this::accept);
    }

    String address() {
        return "127.0.0.1:" + server.getLocalPort();
    }

    @Override
    public void close() throws IOException {
        server.close();
    }

    private void accept() {
        for (long i = 1; !server.isClosed(); i++) {
            try {
                Socket socket = server.accept();
                daemon(new StutteringConnection(
                        socket, RandomSource.XO_RO_SHI_RO_128_PP.create(seed + i), faultShare, answers, record));
            } catch (IOException e) {
                // The endpoint was closed.
                return;
            }
        }
    }

    private static void daemon(Runnable work) {
        Thread thread = new Thread(work);
        thread.setDaemon(true);
        thread.start();
    }
}
