package org.ragwortrun.agent.internal;

import java.time.Duration;
import java.util.Optional;
import java.util.function.BooleanSupplier;
import org.ragwortrun.core.refusal.Refusal;
import org.ragwortrun.core.refusal.RefusalReason;
import org.ragwortrun.proto.Dispatch;

/** The endpoint is not leaving. */
record LeavingRule(BooleanSupplier leaving) implements DispatchRule {
    private static final Duration RETRY_AFTER = Duration.ofSeconds(1);

    @Override
    public Optional<Refusal> check(Dispatch dispatch) {
        return leaving.getAsBoolean()
                ? Optional.of(Refusal.notRun(RefusalReason.LEAVING, "the agent is stopping", RETRY_AFTER))
                : Optional.empty();
    }
}
