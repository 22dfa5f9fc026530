package org.ragwortrun.router.internal.forward;

import java.time.Duration;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.jspecify.annotations.Nullable;
import org.ragwortrun.core.concurrent.Causes;
import org.ragwortrun.core.config.Origin;
import org.ragwortrun.core.log.Event;
import org.ragwortrun.core.refusal.Refusal;
import org.ragwortrun.core.refusal.RefusalReason;
import org.ragwortrun.core.refusal.RefusedException;

/** Refusals of requests that no endpoint has run. */
final class ExchangeRefusals {
    /** Time after which a caller may retry if nothing better is known. */
    static final Duration RETRY_AFTER = Duration.ofMillis(400);

    static final Refusal NOT_STARTED = Refusal.notRun(
            RefusalReason.ENDPOINT_FULL, "the request was not started within the time limit", RETRY_AFTER);
    private static final Logger LOG = LogManager.getLogger(ExchangeRefusals.class);

    private ExchangeRefusals() {}

    /** Returns the reason for a refusal with a cause that an exchange found. */
    static RefusalReason reason(String cause) {
        return "no-endpoint".equals(cause) ? RefusalReason.NO_ENDPOINT : RefusalReason.ENDPOINT_FULL;
    }

    /** Returns the refusal of a request for which no tokens were reserved. */
    static Refusal ofReservation(@Nullable Throwable failure) {
        if (failure == null || !(Causes.of(failure) instanceof RefusedException e)) {
            return Refusal.notRun(RefusalReason.BUDGET_UNREACHABLE, "no tokens could be reserved", RETRY_AFTER);
        }
        // The account is metered here, so an owner that does not know its budget has not applied the configuration yet.
        return e.refusal().reason() == RefusalReason.UNKNOWN_BUDGET
                ? Refusal.notRun(
                        RefusalReason.BUDGET_UNREACHABLE, "the owner of the budget does not know it yet", RETRY_AFTER)
                : e.refusal();
    }

    /**
     * Returns when the caller of a request for which no endpoint is available should retry. If no endpoint accepts it
     * before a time, logs this and spreads the retries of callers over an interval after that time.
     */
    static Duration retryAfter(
            ForwardServices services,
            CallerRequest request,
            Origin origin,
            RequestWait wait,
            EndpointSelector.Choice choice) {
        if (choice.earliestNanos().isEmpty()) {
            return wait.retryAfter(choice.cause());
        }
        long waitNanos =
                Math.max(0, choice.earliestNanos().getAsLong() - services.time().nanos());
        long spread = (long) (services.random().getAsDouble() * Math.max(waitNanos / 2, RETRY_AFTER.toNanos()));
        Event.of("endpoints-want-time")
                .with("id", request.id())
                .with("origin", origin.name())
                .with("endpoints", choice.allowed())
                .with("earliest-ms", waitNanos / 1_000_000)
                .info(LOG);
        return wait.atMostHonored(Duration.ofNanos(waitNanos + spread));
    }
}
