package org.ragwortrun.agent.internal;

import java.util.Optional;
import java.util.function.IntSupplier;
import org.ragwortrun.core.refusal.Refusal;
import org.ragwortrun.core.refusal.RefusalReason;
import org.ragwortrun.proto.Dispatch;

/** The limit that the endpoint names allows one more request, after those that are queued. */
record EndpointLimitRule(EndpointLimitGate limit, IntSupplier queued) implements DispatchRule {
    @Override
    public Optional<Refusal> check(Dispatch dispatch) {
        int others = queued.getAsInt();
        return limit.hasPermitBehind(others)
                ? Optional.empty()
                : Optional.of(Refusal.notRun(
                        RefusalReason.ENDPOINT_LIMITED,
                        "the endpoint accepts no more requests now",
                        limit.waitBehind(others)));
    }
}
