package org.ragwortrun.agent.internal;

import java.time.Duration;
import java.util.Optional;
import org.ragwortrun.core.refusal.Refusal;
import org.ragwortrun.core.refusal.RefusalReason;
import org.ragwortrun.proto.Dispatch;

/**
 * The memory for finished answers is not used up.
 *
 * <p>Answers that slow subscribers are still receiving cannot be evicted.
 */
record AnswerMemoryRule(AnswerStore store, long limit) implements DispatchRule {
    private static final Duration RETRY_AFTER = Duration.ofSeconds(1);

    @Override
    public Optional<Refusal> check(Dispatch dispatch) {
        return store.bytes() > limit
                ? Optional.of(Refusal.notRun(
                        RefusalReason.OVERLOADED, "answers that are being read fill the agent's memory", RETRY_AFTER))
                : Optional.empty();
    }
}
