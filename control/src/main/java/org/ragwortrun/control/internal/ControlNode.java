package org.ragwortrun.control.internal;

import java.util.EnumSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ScheduledExecutorService;
import org.ragwortrun.control.MoveDriver;
import org.ragwortrun.core.concurrent.Closer;
import org.ragwortrun.core.concurrent.SingleThreadExecutor;
import org.ragwortrun.core.time.Time;
import org.ragwortrun.net.FrameHandler;
import org.ragwortrun.net.Peer;
import org.ragwortrun.net.Replies;
import org.ragwortrun.proto.Frame;
import org.ragwortrun.proto.NotLeader;
import org.ragwortrun.proto.StatusReply;

/** A control member without its network and files: dispatches frames to the services. */
public final class ControlNode implements FrameHandler, AutoCloseable {
    private static final Set<Frame.BodyCase> META_CALLS = EnumSet.of(
            Frame.BodyCase.PUBLISH,
            Frame.BodyCase.WATCH,
            Frame.BodyCase.CONFIRM,
            Frame.BodyCase.HEARTBEAT,
            Frame.BodyCase.MOVES_QUERY,
            Frame.BodyCase.CONFIG_QUERY,
            Frame.BodyCase.START_MOVE,
            Frame.BodyCase.EVACUATION_ORDER,
            Frame.BodyCase.EVIDENCE,
            Frame.BodyCase.CRASH_REPORT,
            Frame.BodyCase.CRASH_EVIDENCE);
    private static final long TICK_MS = 50;

    private final String name;
    private final MetaGroup meta;
    private final List<? extends ShardGroup> shards;
    private final Peers peers;
    private final MetaService metaService;
    private final ShardService shardService;
    private final Closer closer = new Closer();
    private volatile boolean draining;

    /**
     * Starts the services.
     *
     * @param meta this member's replica of the meta group
     * @param shards its replicas of the shard groups
     * @param leader client of the meta group's leader, which may be this member
     * @param moves decides on moves while this member leads the meta group
     */
    public ControlNode(
            ControlSettings settings,
            Time time,
            MetaGroup meta,
            List<? extends ShardGroup> shards,
            MetaLeaderClient leader,
            MoveDriver moves) {
        name = settings.name();
        this.meta = meta;
        this.shards = shards;
        peers = new Peers(time);
        ConfigurationCache cache = new ConfigurationCache(settings.shards());
        metaService = closer.register(new MetaService(time, meta, moves, peers, cache, settings));
        shardService = closer.register(new ShardService(time, shards, meta, leader, peers, cache, settings));
        ScheduledExecutorService timer = SingleThreadExecutor.timer("control-tick");
        closer.register(() -> SingleThreadExecutor.stop(timer));
        SingleThreadExecutor.repeat(timer, this::tick, TICK_MS, TICK_MS);
    }

    @Override
    public void onConnected(Peer peer) {
        peers.onConnected(peer);
        if (!draining) {
            metaService.onConnected(peer);
        }
    }

    /** Returns the daemons that are connected to this member. */
    public Peers peers() {
        return peers;
    }

    /** Rejects further requests as a follower does, so that callers turn to the other members. */
    public void drain() {
        draining = true;
    }

    @Override
    public void onFrame(Peer peer, Frame frame) {
        if (draining) {
            peer.send(Replies.to(frame)
                    .setNotLeader(NotLeader.newBuilder()
                            .setGroup(frame.getShardRequest().getGroup()))
                    .build());
            return;
        }
        if (META_CALLS.contains(frame.getBodyCase())) {
            metaService.offer(peer, frame);
            return;
        }
        switch (frame.getBodyCase()) {
            case SHARD_REQUEST, FENCE_CONFIRMED -> shardService.offer(peer, frame);
            case STATUS_QUERY -> metaService.status(peer, frame, status());
            default ->
                peer.send(Replies.error(
                        frame, "unknown-message", frame.getBodyCase() + " is not handled by a control member"));
        }
    }

    @Override
    public void onClosed(Peer peer) {
        peers.onClosed(peer);
        metaService.onClosed(peer);
    }

    @Override
    public void close() {
        closer.close();
    }

    private void tick() {
        metaService.tick();
        shardService.tick();
    }

    private StatusReply.Builder status() {
        StatusReply.Builder reply = StatusReply.newBuilder().setMember(name).addGroups(meta.state());
        shards.forEach(s -> reply.addGroups(s.state()));
        return reply;
    }
}
