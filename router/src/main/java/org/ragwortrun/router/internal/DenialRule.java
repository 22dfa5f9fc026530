package org.ragwortrun.router.internal;

import java.time.Duration;
import java.util.function.Predicate;
import org.ragwortrun.core.config.Configuration;
import org.ragwortrun.core.refusal.Refusal;
import org.ragwortrun.core.refusal.RefusalReason;

/**
 * Decides how to refuse a request that the configuration does not allow.
 *
 * <p>A denial is final for its caller, so it is given only if the configuration is known to be the newest. Otherwise the
 * request is refused as not run, and the caller may try another host.
 */
public final class DenialRule {
    private final Predicate<Configuration> confirmed;
    private final Duration retryAfter;

    /**
     * Creates a rule.
     *
     * @param confirmed whether a control member has confirmed a configuration recently enough to deny requests by it
     * @param retryAfter time after which a caller may try again if it has not
     */
    public DenialRule(Predicate<Configuration> confirmed, Duration retryAfter) {
        this.confirmed = confirmed;
        this.retryAfter = retryAfter;
    }

    /**
     * Returns the denial, or a refusal with {@code configuration-unconfirmed}.
     *
     * @param used configuration that does not allow the request, which may not be the latest one any more
     */
    public Refusal refusal(Configuration used, Refusal denial) {
        return confirmed.test(used)
                ? denial
                : Refusal.notRun(
                        RefusalReason.CONFIGURATION_UNCONFIRMED,
                        "the latest configuration of this host does not allow it, and a newer one may exist",
                        retryAfter);
    }
}
