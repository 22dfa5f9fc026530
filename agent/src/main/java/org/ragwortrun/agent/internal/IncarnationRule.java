package org.ragwortrun.agent.internal;

import java.util.Optional;
import org.ragwortrun.core.refusal.Refusal;
import org.ragwortrun.core.refusal.RefusalReason;
import org.ragwortrun.proto.Dispatch;

/** The dispatch names the current incarnation of the agent. */
record IncarnationRule(AgentIdentity identity) implements DispatchRule {
    @Override
    public Optional<Refusal> check(Dispatch dispatch) {
        String own = identity.incarnation();
        return dispatch.getAgentIncarnation().equals(own)
                ? Optional.empty()
                : Optional.of(Refusal.notRun(
                        RefusalReason.WRONG_INCARNATION, "the current incarnation of the agent is " + own));
    }
}
