package org.ragwortrun.agent.internal;

import java.time.Duration;
import java.util.Optional;
import java.util.function.Supplier;
import org.ragwortrun.core.config.Configuration;
import org.ragwortrun.core.refusal.Refusal;
import org.ragwortrun.core.refusal.RefusalReason;
import org.ragwortrun.proto.Dispatch;

/** The data center of the endpoint is not evacuated by the latest configuration. */
record EvacuationRule(Supplier<Optional<Configuration>> latest, String endpoint) implements DispatchRule {
    private static final Duration RETRY_AFTER = Duration.ofMillis(200);

    @Override
    public Optional<Refusal> check(Dispatch dispatch) {
        return refusal();
    }

    /** Returns why the endpoint may start no request, queued or new. */
    Optional<Refusal> refusal() {
        return latest.get()
                .flatMap(c -> c.endpoint(endpoint).filter(e -> c.isEvacuated(e.dataCenter())))
                .map(e -> Refusal.notRun(
                        RefusalReason.NO_ENDPOINT, "data center " + e.dataCenter() + " is evacuated", RETRY_AFTER));
    }
}
