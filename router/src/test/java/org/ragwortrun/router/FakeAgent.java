package org.ragwortrun.router;

import com.google.protobuf.ByteString;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.function.BiFunction;
import java.util.function.Predicate;
import org.ragwortrun.net.Address;
import org.ragwortrun.net.FrameHandler;
import org.ragwortrun.net.FrameServer;
import org.ragwortrun.net.Peer;
import org.ragwortrun.net.Replies;
import org.ragwortrun.net.Transport;
import org.ragwortrun.net.TransportException;
import org.ragwortrun.proto.Accepted;
import org.ragwortrun.proto.Chunk;
import org.ragwortrun.proto.Dispatch;
import org.ragwortrun.proto.Finished;
import org.ragwortrun.proto.Frame;
import org.ragwortrun.proto.Header;
import org.ragwortrun.proto.Hello;
import org.ragwortrun.proto.LoadReport;
import org.ragwortrun.proto.Refused;
import org.ragwortrun.proto.RequestState;
import org.ragwortrun.proto.Role;
import org.ragwortrun.proto.RunState;
import org.ragwortrun.proto.Usage;

/**
 * An agent whose endpoint answers with a fixed text and respects the flow-control credit of each reader.
 *
 * <p>A test can pause a run at an offset, refuse it, drop its dispatch, or lose it together with the agent.
 */
final class FakeAgent implements FrameHandler, AutoCloseable {
    private static final int BYTES_PER_TOKEN = 5;

    final List<Dispatch> dispatches = new CopyOnWriteArrayList<>();
    final List<String> cancelled = new CopyOnWriteArrayList<>();
    volatile BiFunction<FakeAgent, Dispatch, Refused> refusal = (a, d) -> null;
    volatile Predicate<Dispatch> dropsDispatch = d -> false;
    volatile int chunkSize = BYTES_PER_TOKEN;
    volatile boolean failing;
    volatile String text = "the kiln is at nine hundred degrees";
    volatile String contentType = "";
    volatile int status = 200;
    volatile long holdAt = Long.MAX_VALUE;
    volatile long maxSent;
    private final String name;
    private final Transport transport;
    private final FrameServer server;
    private final String incarnation;
    private final Map<String, Run> runs = new ConcurrentHashMap<>();
    private final Map<String, Reader> readers = new ConcurrentHashMap<>();
    private final List<Peer> peers = new CopyOnWriteArrayList<>();

    FakeAgent(String name, int generation, int port) throws TransportException {
        this.name = name;
        incarnation = name + "@" + generation;
        transport = new Transport(
                Hello.newBuilder()
                        .setName(name)
                        .setIncarnation(incarnation)
                        .setRole(Role.AGENT)
                        .build(),
                1);
        server = transport.listen(new Address("127.0.0.1", port), this);
    }

    int port() {
        return server.port();
    }

    boolean isConnected() {
        return !peers.isEmpty();
    }

    /** Simulates the end of the process: all connections are closed and all state is lost. */
    @Override
    public void close() {
        server.close();
        transport.close();
    }

    /** Closes the connections while the agent keeps running. */
    void disconnect() {
        peers.forEach(Peer::close);
        readers.clear();
    }

    /** Lets paused runs continue by one token. */
    void advance() {
        holdAt += BYTES_PER_TOKEN;
        readers.values().forEach(this::sendAvailable);
    }

    /** Lets paused runs continue to their end. */
    void release() {
        holdAt = Long.MAX_VALUE;
        readers.values().forEach(this::sendAvailable);
    }

    void report(LoadReport.Builder report) {
        Frame frame = Frame.newBuilder()
                .setLoadReport(report.setEndpoint(name).setAgentIncarnation(incarnation))
                .build();
        peers.forEach(p -> p.send(frame));
    }

    @Override
    public void onConnected(Peer peer) {
        peers.add(peer);
    }

    @Override
    public void onClosed(Peer peer) {
        peers.remove(peer);
    }

    @Override
    public void onFrame(Peer peer, Frame f) {
        String key = System.identityHashCode(peer) + "/" + f.getCall();
        if (f.hasDispatch()) {
            onDispatch(peer, f, key);
        } else if (f.hasAttach()) {
            Run run = runs.get(f.getAttach().getRequestId());
            if (run == null) {
                peer.send(Replies.to(f)
                        .setRefused(
                                Refused.newBuilder().setReason("answer-expired").setRun(RunState.RUN_RAN))
                        .build());
                return;
            }
            Reader reader = new Reader(
                    peer, f, run, f.getAttach().getOffset(), f.getAttach().getCredit());
            readers.put(key, reader);
            sendAvailable(reader);
        } else if (f.hasCredit()) {
            Reader reader = readers.get(key);
            if (reader != null) {
                reader.credit += f.getCredit().getBytes();
                sendAvailable(reader);
            }
        } else if (f.hasCancel()) {
            cancelled.add(f.getCancel().getReason());
        } else if (f.hasRequestQuery()) {
            Run run = runs.get(f.getRequestQuery().getRequestId());
            peer.send(Replies.to(f)
                    .setRequestState(RequestState.newBuilder()
                            .setState(run == null ? RequestState.State.NEVER_SEEN : RequestState.State.RUNNING)
                            .setTombstone(run == null)
                            .setAgentIncarnation(incarnation))
                    .build());
        }
    }

    private void onDispatch(Peer peer, Frame f, String key) {
        Dispatch d = f.getDispatch();
        dispatches.add(d);
        if (dropsDispatch.test(d)) {
            return;
        }
        Refused refused = refusal.apply(this, d);
        if (refused != null) {
            peer.send(Replies.to(f).setRefused(refused).build());
            return;
        }
        peer.send(Replies.to(f)
                .setAccepted(Accepted.newBuilder().setAgentIncarnation(incarnation))
                .build());
        if (failing) {
            peer.send(Replies.to(f)
                    .setChunk(Chunk.newBuilder()
                            .setData(ByteString.copyFromUtf8("boom"))
                            .setStatus(500))
                    .build());
            peer.send(Replies.to(f)
                    .setFinished(Finished.newBuilder()
                            .setStatus(500)
                            .setLength(4)
                            .setRun(RunState.RUN_RAN)
                            .setFailure("endpoint-failed"))
                    .build());
            return;
        }
        Run run = new Run(d, text.getBytes(StandardCharsets.UTF_8));
        runs.put(d.getRequestId(), run);
        Reader reader =
                new Reader(peer, f, run, d.getResumeText().getBytes(StandardCharsets.UTF_8).length, d.getCredit());
        readers.put(key, reader);
        sendAvailable(reader);
    }

    private synchronized void sendAvailable(Reader r) {
        while (!r.done) {
            int length = r.run.answer.length;
            int count = (int)
                    Math.min(Math.min(chunkSize, r.credit), Math.min(length - r.next, Math.max(0, holdAt - r.next)));
            if (count > 0) {
                r.credit -= count;
                Chunk.Builder chunk = Chunk.newBuilder()
                        .setOffset(r.next)
                        .setData(ByteString.copyFrom(r.run.answer, (int) r.next, count))
                        .setStatus(status)
                        .setOutputTokens((r.next + count) / BYTES_PER_TOKEN);
                if (!contentType.isEmpty()) {
                    chunk.addHeaders(Header.newBuilder().setName("Content-Type").setValue(contentType));
                }
                r.next += count;
                maxSent = Math.max(maxSent, r.next);
                r.peer.send(Replies.to(r.request).setChunk(chunk).build());
            } else if (r.next == length) {
                r.done = true;
                r.peer.send(Replies.to(r.request).setFinished(finished(r)).build());
            } else {
                return;
            }
        }
    }

    private Finished.Builder finished(Reader r) {
        Dispatch d = r.run.dispatch;
        long output = r.run.answer.length / BYTES_PER_TOKEN;
        return Finished.newBuilder()
                .setStatus(status)
                .setLength(r.run.answer.length)
                .setRun(RunState.RUN_RAN)
                .setUsage(Usage.newBuilder()
                        .setBudget(d.getBudget())
                        .setRequestId(d.getRequestId())
                        .setGrantId(d.getGrantId())
                        .setIncarnation(d.getIncarnation())
                        .setClaimed(d.getClaimed())
                        .setRoute(d.getRoute())
                        .setStatus(status)
                        .setPromptTokens(3)
                        .setOutputTokens(output)
                        .setTokens(3 + output));
    }

    static void sleep(long ms) throws InterruptedException {
        TimeUnit.MILLISECONDS.sleep(ms);
    }

    private static final class Run {
        private final Dispatch dispatch;
        private final byte[] answer;

        Run(Dispatch dispatch, byte[] answer) {
            this.dispatch = dispatch;
            this.answer = answer;
        }
    }

    private static final class Reader {
        private final Peer peer;
        private final Frame request;
        private final Run run;
        private long next;
        private long credit;
        private boolean done;

        Reader(Peer peer, Frame request, Run run, long next, long credit) {
            this.peer = peer;
            this.request = request;
            this.run = run;
            this.next = next;
            this.credit = credit;
        }
    }
}
