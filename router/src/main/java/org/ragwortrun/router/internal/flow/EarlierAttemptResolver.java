package org.ragwortrun.router.internal.flow;

import java.time.Duration;
import org.ragwortrun.core.refusal.Refusal;
import org.ragwortrun.core.refusal.RefusalReason;
import org.ragwortrun.proto.ClaimResult;
import org.ragwortrun.router.internal.request.AdmittedRequest;

/** Determines the outcome of the attempt that the register names when a caller retries a request. */
final class EarlierAttemptResolver {
    /** Receives the outcome. */
    interface Callbacks {
        void attach(ConnectedAgent agent);

        /** Called if the attempt did not run and never will. */
        void onEarlierNotRun(int number);

        /** Called if the attempt may have run and the request is repeatable. */
        void onEarlierOutcomeUnknown(int number);

        void refuse(Refusal refusal);
    }

    private final AgentFinder finder;
    private final FlowSettings settings;
    private final AdmittedRequest request;
    private final Callbacks callbacks;

    EarlierAttemptResolver(AgentFinder finder, FlowSettings settings, AdmittedRequest request, Callbacks callbacks) {
        this.finder = finder;
        this.settings = settings;
        this.request = request;
        this.callbacks = callbacks;
    }

    /** Attaches to an attempt that ran. */
    void attach(ClaimResult ran) {
        finder.awaitIncarnation(ran.getAgent(), ran.getAgentIncarnation(), settings.queryWait(), agent -> {
            if (agent == null) {
                callbacks.refuse(Refusal.ran(
                        RefusalReason.ANSWER_EXPIRED, "the agent that kept the answer is no longer available"));
            } else {
                callbacks.attach(agent);
            }
        });
    }

    /** Queries the agent of an attempt that the register records as running. */
    void ask(ClaimResult running) {
        Duration wait = request.route().repeatable() ? settings.reattachWait() : settings.queryWait();
        finder.awaitIncarnation(running.getAgent(), running.getAgentIncarnation(), wait, agent -> {
            if (agent == null) {
                onOutcomeUnknown(running);
            } else {
                finder.query(
                        agent,
                        request.budget(),
                        request.id(),
                        running.getAttempt(),
                        action -> onState(running, agent, action));
            }
        });
    }

    private void onState(ClaimResult running, ConnectedAgent agent, QueryAction action) {
        switch (action) {
            case NOT_RUN -> callbacks.onEarlierNotRun(running.getAttempt());
            case ATTACH -> callbacks.attach(agent);
            case ANSWER_EXPIRED -> callbacks.refuse(Refusals.answerExpired());
            case UNKNOWN -> onOutcomeUnknown(running);
        }
    }

    private void onOutcomeUnknown(ClaimResult running) {
        if (request.route().repeatable()) {
            callbacks.onEarlierOutcomeUnknown(running.getAttempt());
        } else {
            callbacks.refuse(Refusals.unknownOutcome(
                    "the agent " + running.getAgent() + " cannot tell whether the request ran"));
        }
    }
}
