package org.ragwortrun.net;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.time.Duration;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.ragwortrun.core.concurrent.Closer;
import org.ragwortrun.proto.Chunk;
import org.ragwortrun.proto.Frame;
import org.ragwortrun.proto.Hello;
import org.ragwortrun.proto.StatusQuery;

final class TransportTest {
    private static final Duration TIMEOUT = Duration.ofSeconds(5);

    private final Closer closer = new Closer();
    private final CompletableFuture<Peer> connected = new CompletableFuture<>();
    private Transport transport;

    @BeforeEach
    void start() {
        transport =
                closer.register(new Transport(Hello.newBuilder().setName("test").build(), 2));
    }

    @AfterEach
    void stop() {
        closer.close();
    }

    @Test
    void matchesRepliesToCalls() throws Exception {
        FrameServer server = listen((peer, f) -> peer.send(Replies.error(f, "echo", "call " + f.getCall())));
        Peer peer = connect(server);
        CompletableFuture<Frame> first = peer.call(query(), TIMEOUT);
        CompletableFuture<Frame> second = peer.call(query(), TIMEOUT);
        assertThat(first.get().getError().getDetail()).isEqualTo("call 1");
        assertThat(second.get().getError().getDetail()).isEqualTo("call 3");
    }

    @Test
    void deliversAllFramesOfAnOpenCall() throws Exception {
        FrameServer server = listen((peer, f) -> {
            for (int i = 0; i < 3; i++) {
                peer.send(
                        Replies.to(f).setChunk(Chunk.newBuilder().setOffset(i)).build());
            }
        });
        BlockingQueue<Long> offsets = new LinkedBlockingQueue<>();
        connect(server).open(query(), new FrameListener() {
            @Override
            public void onFrame(Frame frame) {
                offsets.add(frame.getChunk().getOffset());
            }

            @Override
            public void onLost(TransportException cause) {
                offsets.add(-1L);
            }
        });
        for (long i = 0; i < 3; i++) {
            assertThat(offsets.poll(5, TimeUnit.SECONDS)).isEqualTo(i);
        }
        server.close();
        assertThat(offsets.poll(5, TimeUnit.SECONDS)).isEqualTo(-1L);
    }

    /** Guards against a call that never completes if its peer does not reply. */
    @Test
    void failsCallAfterTimeout() throws Exception {
        FrameServer server = listen((peer, f) -> {});
        Peer peer = connect(server);
        ExecutionException e = assertThrows(
                ExecutionException.class,
                () -> peer.call(query(), Duration.ofMillis(50)).get());
        assertThat(((TransportException) e.getCause()).kind()).isEqualTo(TransportException.Kind.TIMEOUT);
    }

    /** Guards against a client that does not reconnect after its server restarts. */
    @Test
    void reconnectsAfterServerRestart() throws Exception {
        FrameServer server = listen((peer, f) -> peer.send(Replies.error(f, "one", "")));
        Address address = new Address("127.0.0.1", server.port());
        FrameClient client = closer.register(transport.connect(address, (p, f) -> {}));
        awaitType(client, "one");
        server.close();
        listenAgain(address);
        awaitType(client, "two");
    }

    /** Listens on a port that a reconnecting client may occupy for a short time. */
    private void listenAgain(Address address) throws InterruptedException, TransportException {
        long end = System.nanoTime() + TIMEOUT.toNanos();
        while (true) {
            try {
                closer.register(transport.listen(address, (peer, f) -> peer.send(Replies.error(f, "two", ""))));
                return;
            } catch (TransportException e) {
                if (System.nanoTime() > end) {
                    throw e;
                }
                TimeUnit.MILLISECONDS.sleep(10);
            }
        }
    }

    private static void awaitType(FrameClient client, String type) throws InterruptedException {
        long end = System.nanoTime() + TIMEOUT.toNanos();
        String seen = "";
        while (!seen.equals(type) && System.nanoTime() < end) {
            try {
                seen = client.call(query(), TIMEOUT).get().getError().getType();
            } catch (ExecutionException e) {
                TimeUnit.MILLISECONDS.sleep(10);
            }
        }
        assertThat(seen).isEqualTo(type);
    }

    private FrameServer listen(FrameHandler handler) throws TransportException {
        return closer.register(transport.listen(new Address("127.0.0.1", 0), handler));
    }

    private Peer connect(FrameServer server) throws Exception {
        closer.register(transport.connect(new Address("127.0.0.1", server.port()), new FrameHandler() {
            @Override
            public void onConnected(Peer peer) {
                connected.complete(peer);
            }

            @Override
            public void onFrame(Peer peer, Frame frame) {}
        }));
        return connected.get(5, TimeUnit.SECONDS);
    }

    private static Frame.Builder query() {
        return Frame.newBuilder().setStatusQuery(StatusQuery.getDefaultInstance());
    }
}
