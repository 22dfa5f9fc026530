package org.ragwortrun.router.internal.flow;

import java.time.Duration;
import org.ragwortrun.core.refusal.Refusal;
import org.ragwortrun.core.refusal.RefusalReason;
import org.ragwortrun.proto.ClaimResult;
import org.ragwortrun.router.internal.request.AdmittedRequest;

/** Finds out what became of the attempt that the register names, when a caller retries a request. */
final class EarlierAttempt {
    /** What may follow. */
    interface Steps {
        void attach(ConnectedAgent agent);

        /** The attempt did not run and never will. */
        void onEarlierNotRun(int number);

        /** The attempt may have run, and the request may be repeated. */
        void onEarlierLost(int number);

        void refuse(Refusal refusal);
    }

    private final AgentFinder finder;
    private final FlowSettings settings;
    private final AdmittedRequest request;
    private final Steps steps;

    EarlierAttempt(AgentFinder finder, FlowSettings settings, AdmittedRequest request, Steps steps) {
        this.finder = finder;
        this.settings = settings;
        this.request = request;
        this.steps = steps;
    }

    /** Attaches to an attempt that ran. */
    void attach(ClaimResult ran) {
        finder.await(ran.getAgent(), ran.getAgentIncarnation(), settings.queryWait(), agent -> {
            if (agent == null) {
                steps.refuse(Refusal.ran(RefusalReason.ANSWER_EXPIRED, "the agent that kept the answer is gone"));
            } else {
                steps.attach(agent);
            }
        });
    }

    /** Asks the agent of an attempt that runs, as far as the register knows. */
    void ask(ClaimResult running) {
        Duration wait = request.route().repeatable() ? settings.reattachWait() : settings.queryWait();
        finder.await(running.getAgent(), running.getAgentIncarnation(), wait, agent -> {
            if (agent == null) {
                lost(running);
            } else {
                finder.query(
                        agent,
                        request.budget(),
                        request.id(),
                        running.getAttempt(),
                        step -> onState(running, agent, step));
            }
        });
    }

    private void onState(ClaimResult running, ConnectedAgent agent, QueryStep step) {
        switch (step) {
            case NOT_RUN -> steps.onEarlierNotRun(running.getAttempt());
            case ATTACH -> steps.attach(agent);
            case ANSWER_EXPIRED -> steps.refuse(Refusals.answerExpired());
            case UNKNOWN -> lost(running);
        }
    }

    private void lost(ClaimResult running) {
        if (request.route().repeatable()) {
            steps.onEarlierLost(running.getAttempt());
        } else {
            steps.refuse(Refusals.unknownOutcome(
                    "the agent " + running.getAgent() + " cannot tell whether the request ran"));
        }
    }
}
