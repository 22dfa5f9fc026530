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

/** Finds the agent of an earlier attempt and asks it what became of the request. */
final class AgentFinder {
    private static final long POLL_MS = 20;

    /** Receives the agent, or null if it is gone. */
    @FunctionalInterface
    interface Found {
        void accept(@Nullable ConnectedAgent agent);
    }

    private final FlowServices services;
    private final Executor mailbox;
    private final BooleanSupplier wanted;

    /**
     * Creates a finder.
     *
     * @param wanted whether the request still waits for an answer; what comes later is dropped
     */
    AgentFinder(FlowServices services, Executor mailbox, BooleanSupplier wanted) {
        this.services = services;
        this.mailbox = mailbox;
        this.wanted = wanted;
    }

    /** Returns the agent of a candidate if it is still connected and has the incarnation that was chosen. */
    Optional<ConnectedAgent> connected(EndpointCandidate candidate) {
        return services.agents()
                .link(candidate.name())
                .flatMap(l -> l.peer()
                        .filter(p -> p.hello().getIncarnation().equals(candidate.agentIncarnation()))
                        .map(p -> new ConnectedAgent(l, p)));
    }

    /** Waits until an incarnation of an agent is connected. It is gone if another one is, or none in time. */
    void await(String agent, String incarnation, Duration wait, Found then) {
        poll(agent, incarnation, services.time().nanos() + wait.toNanos(), then);
    }

    /** Asks an agent about an attempt. If the agent has never seen it, a tombstone keeps it from running later. */
    void query(ConnectedAgent agent, BudgetRef budget, String id, int attempt, Consumer<QueryStep> then) {
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
                            if (wanted.getAsBoolean()) {
                                then.accept(QueryRule.decide(s, incarnation));
                            }
                        },
                        mailbox);
    }

    private void poll(String agent, String incarnation, long until, Found then) {
        if (!wanted.getAsBoolean()) {
            return;
        }
        Optional<AgentLink> link = services.agents().link(agent);
        Optional<Peer> peer = link.flatMap(AgentLink::peer);
        if (link.isPresent() && peer.isPresent()) {
            boolean same = peer.get().hello().getIncarnation().equals(incarnation);
            then.accept(same ? new ConnectedAgent(link.get(), peer.get()) : null);
        } else if (link.isEmpty() || until - services.time().nanos() <= 0) {
            then.accept(null);
        } else {
            services.timer()
                    .schedule(
                            () -> mailbox.execute(() -> poll(agent, incarnation, until, then)),
                            POLL_MS,
                            TimeUnit.MILLISECONDS);
        }
    }
}
