package org.ragwortrun.router.internal.flow;

import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.Executor;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import org.jspecify.annotations.Nullable;
import org.ragwortrun.net.Peer;
import org.ragwortrun.proto.BudgetRef;
import org.ragwortrun.proto.Frame;
import org.ragwortrun.proto.RequestQuery;
import org.ragwortrun.proto.RequestState;
import org.ragwortrun.router.internal.agents.AgentLink;
import org.ragwortrun.routing.EndpointCandidate;

/** Finds the agent of an earlier attempt and queries it for the state of the request. */
final class AgentFinder {
    private static final long POLL_MS = 20;

    /** Receives the agent, or null if that incarnation is no longer available. */
    @FunctionalInterface
    interface Callback {
        void accept(@Nullable ConnectedAgent agent);
    }

    private final FlowServices services;
    private final Executor mailbox;
    private final BooleanSupplier pending;

    /**
     * Creates a finder.
     *
     * @param pending whether the request still waits for a result; later results are dropped
     */
    AgentFinder(FlowServices services, Executor mailbox, BooleanSupplier pending) {
        this.services = services;
        this.mailbox = mailbox;
        this.pending = pending;
    }

    /** Returns the agent of a candidate if it is still connected with the same incarnation. */
    Optional<ConnectedAgent> connected(EndpointCandidate candidate) {
        return services.agents()
                .link(candidate.name())
                .flatMap(l -> l.peer()
                        .filter(p -> p.hello().getIncarnation().equals(candidate.agentIncarnation()))
                        .map(p -> new ConnectedAgent(l, p)));
    }

    /** Waits for an agent. Passes null if it is no longer listed, has another incarnation or does not connect in time. */
    void awaitIncarnation(String agent, String incarnation, Duration wait, Callback callback) {
        poll(agent, incarnation, services.time().nanos() + wait.toNanos(), callback);
    }

    /** Queries an agent for an attempt. If the agent has never seen it, a tombstone prevents a later run. */
    void query(ConnectedAgent agent, BudgetRef budget, String id, int attempt, Consumer<QueryAction> callback) {
        Frame.Builder query = Frame.newBuilder()
                .setRequestQuery(RequestQuery.newBuilder()
                        .setBudget(budget)
                        .setRequestId(id)
                        .setAttempt(attempt)
                        .setSetTombstone(true));
        String incarnation = agent.peer().hello().getIncarnation();
        agent.peer()
                .call(query, services.settings().callTimeout())
                .whenCompleteAsync(
                        (reply, failure) -> {
                            RequestState s =
                                    reply == null ? RequestState.getDefaultInstance() : reply.getRequestState();
                            if (pending.getAsBoolean()) {
                                callback.accept(QueryRule.decide(s, incarnation));
                            }
                        },
                        mailbox);
    }

    private void poll(String agent, String incarnation, long until, Callback callback) {
        if (!pending.getAsBoolean()) {
            return;
        }
        Optional<AgentLink> link = services.agents().link(agent);
        Optional<Peer> peer = link.flatMap(AgentLink::peer);
        if (link.isPresent() && peer.isPresent()) {
            boolean same = peer.get().hello().getIncarnation().equals(incarnation);
            callback.accept(same ? new ConnectedAgent(link.get(), peer.get()) : null);
        } else if (link.isEmpty() || until - services.time().nanos() <= 0) {
            callback.accept(null);
        } else {
            services.timer()
                    .schedule(
                            () -> mailbox.execute(() -> poll(agent, incarnation, until, callback)),
                            POLL_MS,
                            TimeUnit.MILLISECONDS);
        }
    }
}
