package org.ragwortrun.control.internal;

import java.time.Duration;
import java.util.List;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.jspecify.annotations.Nullable;
import org.ragwortrun.control.MoveDriver;
import org.ragwortrun.core.concurrent.Causes;
import org.ragwortrun.core.concurrent.SingleThreadExecutor;
import org.ragwortrun.core.log.Event;
import org.ragwortrun.core.time.Time;
import org.ragwortrun.net.Peer;
import org.ragwortrun.net.Replies;
import org.ragwortrun.proto.Frame;
import org.ragwortrun.proto.Heartbeat;
import org.ragwortrun.proto.MetaCommand;
import org.ragwortrun.proto.MetaResult;
import org.ragwortrun.proto.MoveProgress;
import org.ragwortrun.proto.MovesReply;
import org.ragwortrun.proto.PublishReply;
import org.ragwortrun.proto.ReadBarrier;
import org.ragwortrun.proto.Role;
import org.ragwortrun.proto.StartMove;
import org.ragwortrun.proto.StatusReply;

/**
 * The tasks of the meta group's leader: publishes, configuration leases and updates, moves and evacuations.
 *
 * <p>All state is confined to one thread. The public methods only queue tasks for it and may be called by any thread.
 */
public final class MetaService implements AutoCloseable {
    private static final Logger LOG = LogManager.getLogger(MetaService.class);
    private static final long MOVE_INTERVAL_NANOS = TimeUnit.SECONDS.toNanos(1);

    private final SingleThreadExecutor duty;
    private final Time time;
    private final MetaGroup group;
    private final MoveDriver moveDriver;
    private final Peers peers;
    private final ConfigurationCache cache;
    private final DaemonLeases leases;
    private final InForceWaiters waiters;
    private final Watchers watchers;
    private final EvacuationOrders evacuations;
    private OptionalLong term = OptionalLong.empty();
    private long nextMoveNanos;

    /**
     * Starts the tasks.
     *
     * @param peers daemons connected to this member, to which it announces itself when it becomes the leader
     */
    public MetaService(
            Time time,
            MetaGroup group,
            MoveDriver moves,
            Peers peers,
            ConfigurationCache cache,
            ControlSettings settings) {
        this.time = time;
        this.group = group;
        this.moveDriver = moves;
        this.peers = peers;
        this.cache = cache;
        leases = new DaemonLeases(time, settings.configLease());
        watchers = new Watchers(group);
        waiters = new InForceWaiters(time, leases);
        evacuations = new EvacuationOrders(time, group);
        duty = new SingleThreadExecutor("control-meta", settings.requestRing());
        group.onChange(() -> duty.offer(this::advance));
    }

    /** Queues a request. Replies with a typed error if the queue is full. */
    public void offer(Peer peer, Frame request) {
        Arrival arrival = Arrival.now(time);
        if (!duty.offer(() -> FailureReplies.guard(peer, request, () -> handle(peer, request, arrival)))) {
            peer.send(FailureReplies.overloaded(request, "the request queue of the meta group is full"));
        }
    }

    /** Announces this member to a daemon that has just connected, if it is the leader. */
    public void onConnected(Peer peer) {
        duty.offer(() -> {
            if (isLeader() && isFollower(peer)) {
                announce(peer);
            }
        });
    }

    public void onClosed(Peer peer) {
        duty.offer(() -> watchers.remove(peer));
    }

    /** Queues the periodic work. */
    public void tick() {
        duty.offer(this::advance);
    }

    /** Completes a status reply, which may already contain the state of this member's groups, and sends it. */
    public void status(Peer peer, Frame request, StatusReply.Builder reply) {
        if (!duty.offer(() -> sendStatus(peer, request, reply))) {
            peer.send(FailureReplies.overloaded(request, "the request queue of the meta group is full"));
        }
    }

    @Override
    public void close() {
        duty.offer(waiters::release);
        duty.close();
    }

    private void handle(Peer peer, Frame request, Arrival arrival) {
        advance();
        if (!isLeader()) {
            peer.send(FailureReplies.notLeader(request, group));
            return;
        }
        switch (request.getBodyCase()) {
            case PUBLISH -> publish(peer, request);
            case WATCH -> watchers.add(peer, request);
            case CONFIRM -> confirm(peer, request);
            case HEARTBEAT -> sendHeartbeat(peer, request, group.number(), Duration.ZERO);
            case MOVES_QUERY ->
                replyIfLeader(peer, request, Replies.to(request).setMovesReply(movesReply(group.snapshot())));
            case CONFIG_QUERY -> readConfiguration(peer, request);
            case START_MOVE -> startMove(peer, request);
            case EVACUATION_ORDER -> evacuations.propose(peer, request, arrival);
            case EVIDENCE -> {
                moveDriver.onEvidence(peer.hello(), request.getEvidence());
                acknowledge(peer, request);
            }
            case CRASH_REPORT -> {
                moveDriver.onCrash(peer.hello(), request.getCrashReport());
                recordCrashes(peer, request, MetaCommand.newBuilder().setCrash(request.getCrashReport()));
            }
            case CRASH_EVIDENCE ->
                recordCrashes(peer, request, MetaCommand.newBuilder().setCrashEvidence(request.getCrashEvidence()));
            default -> peer.send(Replies.error(request, "unknown-message", "not a call to the meta group"));
        }
    }

    /** Handles changes of leadership and configuration, and decides on moves when due. */
    private void advance() {
        OptionalLong now = group.leasedTerm();
        if (now.isPresent() && !now.equals(term)) {
            startTerm(now);
        }
        if (now.isEmpty()) {
            waiters.release();
            return;
        }
        watchers.push();
        waiters.check();
        if (time.nanos() - nextMoveNanos >= 0) {
            decideMoves();
        }
    }

    private void startTerm(OptionalLong newTerm) {
        term = newTerm;
        leases.startTerm();
        waiters.release();
        watchers.clear();
        moveDriver.reset();
        nextMoveNanos = time.nanos();
        List<Peer> daemons =
                peers.all().stream().filter(MetaService::isFollower).toList();
        daemons.forEach(this::announce);
        Event.of("meta-leadership")
                .with("term", newTerm.getAsLong())
                .with("number", group.number())
                .with("announced-to", daemons.size())
                .info(LOG);
    }

    /**
     * Sends a heartbeat without a request, so that the daemon confirms at this leader at once. It has no watch here yet and
     * would learn of a change only by its own timer.
     */
    private void announce(Peer peer) {
        peer.send(Frame.newBuilder().setHeartbeat(heartbeat(group.number())).build());
    }

    /** Returns whether a peer is a daemon that follows the configuration. */
    private static boolean isFollower(Peer peer) {
        Role role = peer.hello().getRole();
        return role == Role.ROUTER || role == Role.AGENT;
    }

    private boolean isLeader() {
        OptionalLong now = group.leasedTerm();
        return now.isPresent() && now.equals(term);
    }

    private void publish(Peer peer, Frame request) {
        group.propose(MetaCommand.newBuilder().setPublish(request.getPublish())).whenComplete((result, failure) -> {
            if (!duty.offer(() -> onPublishResult(peer, request, result, failure))) {
                peer.send(FailureReplies.overloaded(request, "the request queue of the meta group is full"));
            }
        });
    }

    private void onPublishResult(Peer peer, Frame request, @Nullable MetaResult result, @Nullable Throwable failure) {
        if (result == null || failure != null) {
            Throwable cause = failure == null ? new IllegalStateException("no result") : failure;
            peer.send(FailureReplies.of(request, group, cause));
            return;
        }
        PublishReply reply = result.getPublish();
        Event.of("publish")
                .with("operator", request.getPublish().getOperator())
                .with("publish-id", request.getPublish().getPublishId())
                .with("based-on", request.getPublish().getBasedOn())
                .with("version", request.getPublish().getGeneration())
                .with("outcome", reply.getOutcome())
                .with("number", reply.getNumber())
                .with("resent", reply.getResent())
                .with("superseded", reply.getSuperseded())
                .with("term", term.orElse(0))
                .with("from", peer.hello().getName())
                .info(LOG);
        advance();
        if (reply.getOutcome() != PublishReply.Outcome.ACCEPTED) {
            peer.send(Replies.to(request).setPublishReply(reply).build());
        } else if (isLeader()) {
            waiters.add(peer, request, reply);
        } else {
            peer.send(Replies.to(request).setPublishReply(reply).build());
        }
    }

    /**
     * Replies with the configuration once an entry that was proposed after the request is committed. A lease alone does
     * not suffice: a host whose clock stood still while it was suspended would reply with an old configuration.
     */
    private void readConfiguration(Peer peer, Frame request) {
        group.propose(MetaCommand.newBuilder().setReadBarrier(ReadBarrier.getDefaultInstance()))
                .whenComplete((result, failure) -> {
                    if (failure == null) {
                        peer.send(Replies.to(request)
                                .setConfigReply(group.configuration())
                                .build());
                    } else {
                        peer.send(FailureReplies.of(request, group, failure));
                    }
                });
    }

    private void startMove(Peer peer, Frame request) {
        StartMove order = request.getStartMove().toBuilder().setRestarts(true).build();
        group.propose(MetaCommand.newBuilder().setStartMove(order)).whenComplete((result, failure) -> {
            if (result == null || failure != null) {
                Throwable cause = failure == null ? new IllegalStateException("no result") : failure;
                peer.send(FailureReplies.of(request, group, cause));
                return;
            }
            Event.of("move-ordered")
                    .with("service", order.getService())
                    .with("target", order.getTarget())
                    .with("duration-ms", order.getDurationMs())
                    .with("outcome", result.getStartMove().getOutcome())
                    .info(LOG);
            peer.send(
                    Replies.to(request).setStartMoveReply(result.getStartMove()).build());
            duty.offer(this::advance);
        });
    }

    private void confirm(Peer peer, Frame request) {
        long number = request.getConfirm().getNumber();
        long current = group.number();
        // A daemon that is behind sends Watch after the heartbeat with the current number; an update pushed from here
        // would be a duplicate.
        if (number == current) {
            watchers.addIfAbsent(peer, number);
        }
        Duration lease = leases.confirm(peer.hello(), number, current);
        sendHeartbeat(peer, request, current, lease);
        waiters.check();
    }

    /** Records crashes and replies once they are durable. A repeated report of the same crash has no effect. */
    private void recordCrashes(Peer peer, Frame request, MetaCommand.Builder command) {
        group.propose(command).whenComplete((result, failure) -> {
            if (failure == null) {
                acknowledge(peer, request);
            } else {
                peer.send(FailureReplies.of(request, group, failure));
            }
        });
    }

    /** Replies to a report that was sent as a call with a heartbeat that does not renew a lease. */
    private void acknowledge(Peer peer, Frame request) {
        if (request.getCall() != 0) {
            sendHeartbeat(peer, request, group.number(), Duration.ZERO);
        }
    }

    private void sendHeartbeat(Peer peer, Frame request, long number, Duration lease) {
        replyIfLeader(
                peer,
                request,
                Replies.to(request)
                        .setHeartbeat(heartbeat(number)
                                .setLeaseMs((int) lease.toMillis())
                                .setEcho(request.getCall())));
    }

    private Heartbeat.Builder heartbeat(long number) {
        return Heartbeat.newBuilder().setNumber(number).setTerm(term.orElse(0)).addAllMembers(group.members());
    }

    /** Sends the reply if this member still holds the lease; otherwise the data that was read may be stale. */
    private void replyIfLeader(Peer peer, Frame request, Frame.Builder reply) {
        peer.send(isLeader() ? reply.build() : FailureReplies.notLeader(request, group));
    }

    private void decideMoves() {
        nextMoveNanos = time.nanos() + MOVE_INTERVAL_NANOS;
        cache.configuration(group.snapshot())
                .ifPresent(c -> moveDriver.decide(c, time.wallMillis()).forEach(this::proposeDecision));
    }

    private void proposeDecision(MetaCommand.Builder command) {
        if (command.hasMoveProgress()) {
            MoveProgress progress = command.getMoveProgress();
            Event.of("move-decided")
                    .with("move", progress.getMove())
                    .with("state", progress.getState())
                    .with("share-permille", progress.getSharePermille())
                    .with("reason", progress.getReason())
                    .info(LOG);
        }
        group.propose(command).whenComplete((r, e) -> {
            if (e != null) {
                Event.of("decision-not-proposed").warn(LOG, Causes.of(e));
            }
        });
    }

    private void sendStatus(Peer peer, Frame request, StatusReply.Builder reply) {
        advance();
        long number = group.number();
        reply.setConfigNumber(number).addAllEvacuations(group.snapshot().evacuations());
        if (isLeader()) {
            reply.setConfigInForce(leases.inForce(number)).addAllDaemons(leases.states());
            replyIfLeader(peer, request, Replies.to(request).setStatusReply(reply));
        } else if (group.hint().getLeaderName().isEmpty()) {
            // Without a known leader, the view of this member is the best available.
            peer.send(Replies.to(request).setStatusReply(reply).build());
        } else {
            peer.send(FailureReplies.notLeader(request, group));
        }
    }

    private static MovesReply movesReply(MetaSnapshot s) {
        return MovesReply.newBuilder()
                .addAllMoves(s.moves())
                .addAllDecisions(s.decisions())
                .build();
    }
}
