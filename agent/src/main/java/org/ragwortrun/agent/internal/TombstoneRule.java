package org.ragwortrun.agent.internal;

import java.util.Optional;
import org.ragwortrun.core.refusal.Refusal;
import org.ragwortrun.core.refusal.RefusalReason;
import org.ragwortrun.proto.Dispatch;

/** The attempt has no tombstone: its router did not give it up before it arrived. */
record TombstoneRule(Tombstones tombstones) implements DispatchRule {
    @Override
    public Optional<Refusal> check(Dispatch dispatch) {
        RequestKey key = RequestKey.of(dispatch.getBudget(), dispatch.getRequestId());
        return tombstones.contains(key, dispatch.getAttempt())
                ? Optional.of(Refusal.notRun(RefusalReason.TOMBSTONE, "the attempt was given up before it arrived"))
                : Optional.empty();
    }
}
