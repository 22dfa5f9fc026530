package org.ragwortrun.control.internal;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.ragwortrun.core.config.SectionKind;
import org.ragwortrun.core.log.Event;
import org.ragwortrun.core.time.Time;
import org.ragwortrun.net.Peer;
import org.ragwortrun.proto.CloseSession;
import org.ragwortrun.proto.ConfirmFence;
import org.ragwortrun.proto.FenceConfirmed;
import org.ragwortrun.proto.FenceRouter;
import org.ragwortrun.proto.Frame;
import org.ragwortrun.proto.Role;
import org.ragwortrun.proto.Section;
import org.ragwortrun.proto.ShardCommand;

/**
 * Closes the sessions of router incarnations that are gone, for one shard.
 *
 * <p>A session is closed when a newer incarnation of the router has registered or when the router has been silent for
 * too long. Its grants return when every agent that was configured then has confirmed that it has fenced the
 * incarnation. An agent that is no longer configured and has not been connected for as long counts as confirmed, since
 * its host is gone. Used by one thread, under the shard's lease.
 */
final class Fencing {
    private static final Logger LOG = LogManager.getLogger(Fencing.class);

    private final Time time;
    private final ShardGroup shard;
    private final MetaGroup meta;
    private final Peers peers;
    private final long fenceAfterNanos;
    private final Set<String> proposed = new HashSet<>();
    private final Map<String, Long> agentMissingNanos = new HashMap<>();
    private long startedNanos;

    Fencing(Time time, ShardGroup shard, MetaGroup meta, Peers peers, Duration fenceAfter) {
        this.time = time;
        this.shard = shard;
        this.meta = meta;
        this.peers = peers;
        fenceAfterNanos = fenceAfter.toNanos();
        startedNanos = time.nanos();
    }

    /** Begins a leadership. The silence of routers counts from now, because an earlier leader heard them. */
    void begin() {
        startedNanos = time.nanos();
        proposed.clear();
        agentMissingNanos.clear();
    }

    /** Does what is due. Called about once a second. */
    void run() {
        closeGoneSessions();
        Set<String> configured = configuredAgents();
        shard.awaitedAgents()
                .forEach((incarnation, agents) ->
                        agents.forEach(agent -> ask(incarnation, agent, configured.contains(agent))));
    }

    /** Records what an agent confirmed. */
    void onConfirmed(FenceConfirmed confirmed) {
        List<String> awaited = shard.awaitedAgents().getOrDefault(confirmed.getIncarnation(), List.of());
        if (awaited.contains(confirmed.getAgent())) {
            confirm(confirmed.getIncarnation(), confirmed.getAgent());
        }
    }

    private void closeGoneSessions() {
        List<RouterSession> sessions = shard.openSessions();
        for (RouterSession s : sessions) {
            long silentNanos = time.nanos() - peers.lastSeenNanos(s.incarnation(), startedNanos);
            boolean connected = peers.byIncarnation(s.incarnation()).isPresent();
            boolean silent = !connected && silentNanos >= fenceAfterNanos;
            if ((s.superseded() || silent) && proposed.add(s.incarnation())) {
                close(s, silent ? "silent" : "superseded");
            }
        }
    }

    private void close(RouterSession session, String why) {
        List<String> agents = new ArrayList<>(configuredAgents());
        Event.of("session-closing")
                .with("group", shard.id())
                .with("incarnation", session.incarnation())
                .with("why", why)
                .with("agents", agents.size())
                .info(LOG);
        shard.propose(ShardCommand.newBuilder()
                        .setCloseSession(CloseSession.newBuilder()
                                .setIncarnation(session.incarnation())
                                .addAllAwaitedAgents(agents)))
                .whenComplete((r, e) -> {
                    if (e != null) {
                        failed("session-not-closed", session.incarnation(), e);
                    }
                });
    }

    private void ask(String incarnation, String agent, boolean configured) {
        List<Peer> connections = peers.byName(Role.AGENT, agent);
        if (!connections.isEmpty()) {
            agentMissingNanos.remove(agent);
            Frame push = Frame.newBuilder()
                    .setFenceRouter(FenceRouter.newBuilder().setIncarnation(incarnation))
                    .build();
            connections.forEach(c -> c.send(push));
            return;
        }
        long since = agentMissingNanos.computeIfAbsent(agent, a -> time.nanos());
        if (!configured && time.nanos() - since >= fenceAfterNanos) {
            confirm(incarnation, agent);
        }
    }

    private void confirm(String incarnation, String agent) {
        shard.propose(ShardCommand.newBuilder()
                        .setConfirmFence(ConfirmFence.newBuilder()
                                .setIncarnation(incarnation)
                                .setAgent(agent)))
                .whenComplete((r, e) -> {
                    if (e != null) {
                        failed("fence-not-recorded", incarnation, e);
                    }
                });
    }

    private Set<String> configuredAgents() {
        Set<String> agents = new HashSet<>();
        for (Section s : meta.snapshot().sections()) {
            if (s.getKind().equals(SectionKind.ENDPOINT.text())) {
                agents.add(s.getName());
            }
        }
        return agents;
    }

    private void failed(String event, String incarnation, Throwable failure) {
        Event.of(event)
                .with("group", shard.id())
                .with("incarnation", incarnation)
                .warn(LOG, Failures.unwrap(failure));
    }
}
