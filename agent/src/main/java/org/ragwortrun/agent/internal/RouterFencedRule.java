package org.ragwortrun.agent.internal;

import java.util.Optional;
import org.ragwortrun.core.refusal.Refusal;
import org.ragwortrun.core.refusal.RefusalReason;
import org.ragwortrun.proto.Dispatch;

/** The router's incarnation has not been fenced. */
record RouterFencedRule(FencedRouters fenced) implements DispatchRule {
    @Override
    public Optional<Refusal> check(Dispatch dispatch) {
        return fenced.isFenced(dispatch.getIncarnation())
                ? Optional.of(
                        Refusal.notRun(RefusalReason.ROUTER_FENCED, dispatch.getIncarnation() + " has been fenced"))
                : Optional.empty();
    }
}
