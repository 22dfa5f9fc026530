package org.ragwortrun.core.refusal;

import java.time.Duration;
import java.util.Optional;

/** Final answer to a request that the system refuses. */
public record Refusal(RefusalReason reason, RunOutcome run, String detail, Optional<Duration> retryAfter) {

    /** Refuses a request that did not run. */
    public static Refusal notRun(RefusalReason reason, String detail) {
        return new Refusal(reason, RunOutcome.NOT_RUN, detail, Optional.empty());
    }

    /** Refuses a request that did not run and tells the caller when to retry. */
    public static Refusal notRun(RefusalReason reason, String detail, Duration retryAfter) {
        return new Refusal(reason, RunOutcome.NOT_RUN, detail, Optional.of(retryAfter));
    }

    public static Refusal unknown(RefusalReason reason, String detail) {
        return new Refusal(reason, RunOutcome.UNKNOWN, detail, Optional.empty());
    }

    public static Refusal ran(RefusalReason reason, String detail) {
        return new Refusal(reason, RunOutcome.RAN, detail, Optional.empty());
    }
}
