package org.ragwortrun.router.internal.flow;

import java.time.Duration;
import java.util.Optional;
import org.jspecify.annotations.Nullable;
import org.ragwortrun.core.concurrent.Causes;
import org.ragwortrun.core.refusal.Refusal;
import org.ragwortrun.core.refusal.RefusalReason;
import org.ragwortrun.core.refusal.RefusedException;
import org.ragwortrun.core.refusal.RunOutcome;
import org.ragwortrun.proto.Refused;

/** Builds the refusals that several steps of a request share. */
final class Refusals {
    private static final Duration RETRY_DELAY = Duration.ofSeconds(1);

    private Refusals() {}

    static Refusal unknownOutcome(String detail) {
        return Refusal.unknown(RefusalReason.OUTCOME_UNKNOWN, detail);
    }

    static Refusal answerExpired() {
        return Refusal.ran(RefusalReason.ANSWER_EXPIRED, "the agent no longer keeps the answer");
    }

    /** Returns the refusal for a claim whose action is to refuse. */
    static Refusal ofClaim(ClaimAction action) {
        return switch (action) {
            case REFUSE_REUSED ->
                Refusal.notRun(RefusalReason.ID_REUSED, "the id belongs to a request with different content");
            case REFUSE_EXPIRED ->
                Refusal.unknown(RefusalReason.ID_EXPIRED, "the id is older than the retention period of ids");
            case REFUSE_FUTURE -> Refusal.notRun(RefusalReason.ID_IN_FUTURE, "the key's time is in the future");
            default -> unknownOutcome("it is unknown whether an earlier attempt ran");
        };
    }

    /** Converts a refusal that an agent sent. */
    static Refusal of(Refused refused) {
        RefusalReason reason = RefusalReason.ofCode(refused.getReason()).orElse(RefusalReason.ENDPOINT_FAILED);
        Optional<Duration> after = refused.getRetryAfterMs() == 0
                ? Optional.empty()
                : Optional.of(Duration.ofMillis(refused.getRetryAfterMs()));
        return new Refusal(reason, RunOutcome.of(refused.getRun()), refused.getDetail(), after);
    }

    /** Returns the refusal for a failed reservation. */
    static Refusal ofFailure(@Nullable Throwable failure) {
        return failure != null && Causes.of(failure) instanceof RefusedException r
                ? r.refusal()
                : Refusal.notRun(RefusalReason.BUDGET_UNREACHABLE, message(failure), RETRY_DELAY);
    }

    static String message(@Nullable Throwable failure) {
        return failure == null ? "no reply" : String.valueOf(Causes.of(failure).getMessage());
    }
}
