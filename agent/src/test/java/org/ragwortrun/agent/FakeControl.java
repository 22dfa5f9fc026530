package org.ragwortrun.agent;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.LinkedBlockingQueue;
import org.ragwortrun.core.concurrent.Closer;
import org.ragwortrun.net.Address;
import org.ragwortrun.net.FrameHandler;
import org.ragwortrun.net.FrameServer;
import org.ragwortrun.net.Peer;
import org.ragwortrun.net.Replies;
import org.ragwortrun.net.Transport;
import org.ragwortrun.proto.ConfigUpdate;
import org.ragwortrun.proto.CrashReport;
import org.ragwortrun.proto.ErrorReply;
import org.ragwortrun.proto.Evacuation;
import org.ragwortrun.proto.Frame;
import org.ragwortrun.proto.Heartbeat;
import org.ragwortrun.proto.Hello;
import org.ragwortrun.proto.Role;
import org.ragwortrun.proto.Section;
import org.ragwortrun.proto.Settled;
import org.ragwortrun.proto.ShardReply;
import org.ragwortrun.proto.ShardResult;
import org.ragwortrun.proto.Usage;

/** Fake control member that leads every group and records what agents report. */
final class FakeControl implements FrameHandler, AutoCloseable {
    private final Closer closer = new Closer();
    private final FrameServer server;
    private final List<Section> sections = new CopyOnWriteArrayList<>();
    private final Map<String, Usage> bills = new ConcurrentHashMap<>();
    private final List<Usage> reports = new CopyOnWriteArrayList<>();
    private final List<CrashReport> crashes = new CopyOnWriteArrayList<>();
    private final List<Peer> agents = new CopyOnWriteArrayList<>();
    private final BlockingQueue<Frame> otherFrames = new LinkedBlockingQueue<>();
    private volatile int leaseMs = 3_000;
    private volatile boolean settles = true;
    private volatile int number = 1;
    private volatile long confirmed;
    private volatile Evacuation evacuation = Evacuation.getDefaultInstance();

    FakeControl() throws Exception {
        Transport transport = closer.register(new Transport(
                Hello.newBuilder().setName("c1").setRole(Role.CONTROL).build(), 1));
        server = closer.register(transport.listen(new Address("127.0.0.1", 0), this));
    }

    String address() {
        return "c1=127.0.0.1:" + server.port();
    }

    void addSection(String kind, String name, Map<String, String> properties) {
        sections.add(Section.newBuilder()
                .setKind(kind)
                .setName(name)
                .putAllProperties(properties)
                .build());
    }

    void setLeaseMs(int ms) {
        leaseMs = ms;
    }

    /** Sends agents the next configuration, with evacuations. */
    void evacuate(String dataCenter, boolean active) {
        evacuation = Evacuation.newBuilder()
                .setDataCenter(dataCenter)
                .setActive(active)
                .setNumber(number + 1)
                .build();
        number++;
        push(Frame.newBuilder().setConfigUpdate(update()).build());
    }

    /** Returns the number of the latest confirmation. */
    long confirmed() {
        return confirmed;
    }

    private ConfigUpdate update() {
        return ConfigUpdate.newBuilder()
                .setNumber(number)
                .addAllChanged(sections)
                .addEvacuations(evacuation)
                .build();
    }

    void setSettles(boolean newSettles) {
        settles = newSettles;
    }

    Map<String, Usage> bills() {
        return bills;
    }

    List<Usage> reports() {
        return reports;
    }

    List<CrashReport> crashes() {
        return new ArrayList<>(crashes);
    }

    /** Returns the frames of agents other than configuration calls, shard requests and crash reports. */
    BlockingQueue<Frame> otherFrames() {
        return otherFrames;
    }

    void push(Frame frame) {
        agents.forEach(p -> p.send(frame));
    }

    @Override
    public void onConnected(Peer peer) {
        agents.add(peer);
    }

    @Override
    public void onClosed(Peer peer) {
        agents.remove(peer);
    }

    @Override
    public void onFrame(Peer peer, Frame frame) {
        switch (frame.getBodyCase()) {
            case CONFIRM -> {
                confirmed = frame.getConfirm().getNumber();
                peer.send(Replies.to(frame)
                        .setHeartbeat(Heartbeat.newBuilder().setNumber(number).setLeaseMs(leaseMs))
                        .build());
            }
            case WATCH -> peer.send(Replies.to(frame).setConfigUpdate(update()).build());
            case SHARD_REQUEST -> settle(peer, frame);
            case CRASH_REPORT -> {
                crashes.add(frame.getCrashReport());
                peer.send(Replies.to(frame)
                        .setError(ErrorReply.newBuilder().setType("none"))
                        .build());
            }
            default -> otherFrames.add(frame);
        }
    }

    private void settle(Peer peer, Frame frame) {
        for (Usage u : frame.getShardRequest().getCommand().getSettle().getUsagesList()) {
            reports.add(u);
            if (settles) {
                bills.putIfAbsent(u.getRequestId(), u);
            }
        }
        if (settles) {
            peer.send(Replies.to(frame)
                    .setShardReply(ShardReply.newBuilder()
                            .setCommand(ShardResult.newBuilder().setSettled(Settled.getDefaultInstance())))
                    .build());
        }
    }

    @Override
    public void close() {
        closer.close();
    }
}
