package org.ragwortrun.agent.internal;

import java.time.Duration;
import java.util.Optional;
import java.util.function.BooleanSupplier;
import org.ragwortrun.core.refusal.Refusal;
import org.ragwortrun.core.refusal.RefusalReason;
import org.ragwortrun.proto.Dispatch;

/** The endpoint answered its last health check. */
record HealthyRule(BooleanSupplier healthy) implements DispatchRule {
    private static final Duration RETRY_AFTER = Duration.ofSeconds(1);

    @Override
    public Optional<Refusal> check(Dispatch dispatch) {
        return healthy.getAsBoolean()
                ? Optional.empty()
                : Optional.of(Refusal.notRun(
                        RefusalReason.ENDPOINT_FAILED, "the endpoint does not answer health checks", RETRY_AFTER));
    }
}
