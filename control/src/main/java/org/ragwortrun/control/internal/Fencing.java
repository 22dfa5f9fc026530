package org.ragwortrun.control.internal;

import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.WeakHashMap;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.ragwortrun.core.concurrent.Causes;
import org.ragwortrun.core.config.SectionKind;
import org.ragwortrun.core.log.Event;
import org.ragwortrun.core.time.Time;
import org.ragwortrun.ledger.SessionState;
import org.ragwortrun.ledger.SessionState.Phase;
import org.ragwortrun.net.Peer;
import org.ragwortrun.proto.CloseSession;
import org.ragwortrun.proto.ConfirmFence;
import org.ragwortrun.proto.DaemonState;
import org.ragwortrun.proto.FenceConfirmed;
import org.ragwortrun.proto.FenceRouter;
import org.ragwortrun.proto.Frame;
import org.ragwortrun.proto.Role;
import org.ragwortrun.proto.Section;
import org.ragwortrun.proto.ShardCommand;
import org.ragwortrun.proto.ShardResult;
import org.ragwortrun.proto.StatusReply;

/**
 * Closes the sessions of router incarnations that are gone, for one shard.
 *
 * <p>A session is closed when a newer incarnation of the router has registered, or when the router has been silent for
 * the configured fencing time and holds no configuration lease. Its grants are returned once every agent that was
 * configured when the session was closed has confirmed that it fences the incarnation. An agent that has been removed
 * from the configuration and has not been connected for the fencing time counts as confirmed, since its host is gone.
 * Used by one thread, under the shard's lease.
 */
final class Fencing {
    private static final Logger LOG = LogManager.getLogger(Fencing.class);
    // Closing a session is proposed again after this time, in case the log entry was lost.
    private static final long RETRY_INTERVAL_NANOS = TimeUnit.SECONDS.toNanos(5);

    private final Time time;
    private final ShardGroup shard;
    private final MetaGroup meta;
    private final MetaLeaderClient leader;
    private final Peers peers;
    private final Executor executor;
    private final long fenceAfterNanos;
    private final Map<String, Long> lastAttemptNanos = new HashMap<>();
    private final Map<String, Long> agentMissingNanos = new HashMap<>();
    private final Map<Peer, Set<String>> notifiedIncarnations = new WeakHashMap<>();
    private long startedNanos;

    /**
     * Creates the fencing task of one shard.
     *
     * @param executor runs tasks on the thread that uses this object
     */
    Fencing(
            Time time,
            ShardGroup shard,
            MetaGroup meta,
            MetaLeaderClient leader,
            Peers peers,
            Duration fenceAfter,
            Executor executor) {
        this.time = time;
        this.shard = shard;
        this.meta = meta;
        this.leader = leader;
        this.peers = peers;
        this.executor = executor;
        fenceAfterNanos = fenceAfter.toNanos();
        startedNanos = time.nanos();
    }

    /** Starts a leadership term. Routers count as seen now, since an earlier leader may have been in contact with them. */
    void startTerm() {
        startedNanos = time.nanos();
        lastAttemptNanos.clear();
        agentMissingNanos.clear();
        notifiedIncarnations.clear();
    }

    /** Closes sessions that are due and sends fence requests to agents. Called about once a second. */
    void run() {
        List<SessionState> sessions = shard.sessions();
        List<SessionState> dueSessions = sessions.stream().filter(this::isDue).toList();
        if (!dueSessions.isEmpty()) {
            close(dueSessions);
        }
        Set<String> configured = configuredAgents();
        for (SessionState s : sessions) {
            if (s.phase() == Phase.CLOSING) {
                s.awaitedAgents().forEach(agent -> requestFence(s.incarnation(), agent, configured.contains(agent)));
            }
            if (s.phase() == Phase.CLOSING || s.phase() == Phase.CLOSED) {
                notifyNewConnections(s.incarnation());
            }
        }
    }

    /** Records the confirmation of an agent if a session waits for it. */
    void onConfirmed(FenceConfirmed confirmed) {
        boolean awaited = shard.sessions().stream()
                .filter(s -> s.incarnation().equals(confirmed.getIncarnation()))
                .anyMatch(s -> s.awaitedAgents().contains(confirmed.getAgent()));
        if (awaited) {
            recordConfirmation(confirmed.getIncarnation(), confirmed.getAgent());
        }
    }

    private boolean isDue(SessionState s) {
        boolean due = s.phase() == Phase.SUPERSEDED || (s.phase() == Phase.OPEN && isSilent(s));
        Long lastAttempt = lastAttemptNanos.get(s.incarnation());
        return due && (lastAttempt == null || time.nanos() - lastAttempt >= RETRY_INTERVAL_NANOS);
    }

    private boolean isSilent(SessionState s) {
        return peers.byIncarnation(s.incarnation()).isEmpty()
                && time.nanos() - peers.lastSeenNanos(s.incarnation(), startedNanos) >= fenceAfterNanos;
    }

    /**
     * Closes sessions once this member knows every configured agent.
     *
     * <p>This member may lag behind in the meta group. If a session were closed without waiting for an agent to which
     * the router may have dispatched requests, tokens that are still being spent would be returned.
     */
    private void close(List<SessionState> sessions) {
        sessions.forEach(s -> lastAttemptNanos.put(s.incarnation(), time.nanos()));
        leader.status()
                .whenComplete((status, failure) -> executor.execute(() -> {
                    if (failure != null) {
                        Event.of("sessions-not-closed")
                                .with("group", shard.id())
                                .warn(LOG, Causes.of(failure));
                    } else if (meta.number() < status.getConfigNumber()) {
                        sessions.forEach(s -> lastAttemptNanos.remove(s.incarnation()));
                    } else {
                        closeUnlessLeased(sessions, status);
                    }
                }));
    }

    private void closeUnlessLeased(List<SessionState> sessions, StatusReply status) {
        Set<String> leased = status.getDaemonsList().stream()
                .filter(DaemonState::getLeaseValid)
                .map(DaemonState::getIncarnation)
                .collect(Collectors.toSet());
        sessions.stream()
                .filter(s -> s.phase() == Phase.SUPERSEDED || !leased.contains(s.incarnation()))
                .forEach(this::propose);
    }

    private void propose(SessionState session) {
        Set<String> agents = configuredAgents();
        Event.of("session-closing")
                .with("group", shard.id())
                .with("incarnation", session.incarnation())
                .with("why", session.phase() == Phase.SUPERSEDED ? "superseded" : "silent")
                .with("agents", agents.size())
                .info(LOG);
        CompletableFuture<ShardResult> proposal = shard.propose(ShardCommand.newBuilder()
                .setCloseSession(CloseSession.newBuilder()
                        .setIncarnation(session.incarnation())
                        .addAllAwaitedAgents(agents)));
        logFailure(proposal, "session-not-closed", session.incarnation());
        proposal.whenComplete((r, e) -> executor.execute(this::run));
    }

    private void requestFence(String incarnation, String agent, boolean configured) {
        List<Peer> connections = peers.byName(Role.AGENT, agent);
        if (!connections.isEmpty()) {
            agentMissingNanos.remove(agent);
            connections.forEach(c -> send(c, incarnation));
            return;
        }
        long since = agentMissingNanos.computeIfAbsent(agent, a -> time.nanos());
        if (!configured && time.nanos() - since >= fenceAfterNanos) {
            Event.of("fence-without-agent")
                    .with("group", shard.id())
                    .with("incarnation", incarnation)
                    .with("agent", agent)
                    .info(LOG);
            recordConfirmation(incarnation, agent);
        }
    }

    /** Tells agents that connected later, such as restarted ones, which incarnations to reject. */
    private void notifyNewConnections(String incarnation) {
        for (Peer p : peers.byRole(Role.AGENT)) {
            if (notifiedIncarnations.computeIfAbsent(p, k -> new HashSet<>()).add(incarnation)) {
                send(p, incarnation);
            }
        }
    }

    private static void send(Peer agent, String incarnation) {
        agent.send(Frame.newBuilder()
                .setFenceRouter(FenceRouter.newBuilder().setIncarnation(incarnation))
                .build());
    }

    private void recordConfirmation(String incarnation, String agent) {
        CompletableFuture<ShardResult> proposal = shard.propose(ShardCommand.newBuilder()
                .setConfirmFence(
                        ConfirmFence.newBuilder().setIncarnation(incarnation).setAgent(agent)));
        logFailure(proposal, "fence-not-recorded", incarnation);
    }

    private Set<String> configuredAgents() {
        return meta.snapshot().sections().stream()
                .filter(s -> s.getKind().equals(SectionKind.ENDPOINT.text()))
                .map(Section::getName)
                .collect(Collectors.toSet());
    }

    private void logFailure(CompletableFuture<ShardResult> proposal, String event, String incarnation) {
        proposal.whenComplete((r, e) -> {
            if (e != null) {
                Event.of(event)
                        .with("group", shard.id())
                        .with("incarnation", incarnation)
                        .warn(LOG, Causes.of(e));
            }
        });
    }
}
