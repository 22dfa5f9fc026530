package org.ragwortrun.agent.internal;

import java.util.Optional;
import org.ragwortrun.core.refusal.Refusal;
import org.ragwortrun.core.refusal.RefusalReason;
import org.ragwortrun.proto.Dispatch;

/** The body does not exceed the size limit. */
record BodySizeRule(int limit) implements DispatchRule {
    @Override
    public Optional<Refusal> check(Dispatch dispatch) {
        int size = dispatch.getBody().size();
        return size > limit
                ? Optional.of(Refusal.notRun(
                        RefusalReason.REQUEST_TOO_LARGE, "the body has " + size + " bytes, allowed are " + limit))
                : Optional.empty();
    }
}
