package org.ragwortrun.agent.internal;

import java.time.Duration;
import java.util.Optional;
import org.ragwortrun.core.refusal.Refusal;
import org.ragwortrun.core.refusal.RefusalReason;
import org.ragwortrun.proto.Dispatch;

/**
 * The agent can record one more request.
 *
 * <p>If not, requests are refused until the running ones have finished and the agent has a new incarnation.
 */
record RequestHistoryRule(Tombstones tombstones, SeenRequests seen) implements DispatchRule {
    private static final Duration RETRY_AFTER = Duration.ofSeconds(1);

    @Override
    public Optional<Refusal> check(Dispatch dispatch) {
        return tombstones.isNearlyFull() || seen.isFull()
                ? Optional.of(Refusal.notRun(
                        RefusalReason.ENDPOINT_FULL, "the agent is about to take a new incarnation", RETRY_AFTER))
                : Optional.empty();
    }
}
