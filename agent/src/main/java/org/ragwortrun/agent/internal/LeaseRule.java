package org.ragwortrun.agent.internal;

import java.time.Duration;
import java.util.Optional;
import java.util.function.Supplier;
import org.ragwortrun.core.config.Configuration;
import org.ragwortrun.core.refusal.Refusal;
import org.ragwortrun.core.refusal.RefusalReason;
import org.ragwortrun.proto.Dispatch;

/** The agent holds a configuration lease, and the configuration contains its endpoint. */
record LeaseRule(Supplier<Optional<Configuration>> inForce, String endpoint) implements DispatchRule {
    private static final Duration RETRY_AFTER = Duration.ofSeconds(1);

    @Override
    public Optional<Refusal> check(Dispatch dispatch) {
        Optional<Configuration> configuration = inForce.get();
        if (configuration.isEmpty()) {
            return Optional.of(Refusal.notRun(
                    RefusalReason.CONFIGURATION_LEASE_EXPIRED,
                    "no control member has confirmed the configuration of this host",
                    RETRY_AFTER));
        }
        return configuration.get().endpoint(endpoint).isEmpty()
                ? Optional.of(Refusal.notRun(
                        RefusalReason.NO_ENDPOINT, "the configuration has no endpoint " + endpoint, RETRY_AFTER))
                : Optional.empty();
    }
}
