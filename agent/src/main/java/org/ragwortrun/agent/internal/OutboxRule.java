package org.ragwortrun.agent.internal;

import java.time.Duration;
import java.util.Optional;
import org.ragwortrun.core.refusal.Refusal;
import org.ragwortrun.core.refusal.RefusalReason;
import org.ragwortrun.proto.Dispatch;

/** The outbox of unacknowledged usage has room, so that no usage has to be dropped. */
record OutboxRule(UsageOutbox outbox) implements DispatchRule {
    private static final Duration RETRY_AFTER = Duration.ofSeconds(1);

    @Override
    public Optional<Refusal> check(Dispatch dispatch) {
        return outbox.isFull()
                ? Optional.of(Refusal.notRun(
                        RefusalReason.OVERLOADED, "too many usage records wait for a shard", RETRY_AFTER))
                : Optional.empty();
    }
}
