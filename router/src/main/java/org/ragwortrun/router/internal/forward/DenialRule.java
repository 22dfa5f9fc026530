package org.ragwortrun.router.internal.forward;

import java.time.Duration;
import org.ragwortrun.core.config.Budget;
import org.ragwortrun.core.refusal.Refusal;
import org.ragwortrun.core.refusal.RefusalReason;

/**
 * Decides how to refuse a request that the configuration does not allow.
 *
 * <p>A denial is final for its caller, so it is given only if the configuration is known to be the newest. Otherwise the
 * request is refused as not run, and the caller may try another host.
 */
final class DenialRule {
    private static final Duration RETRY_AFTER = Duration.ofMillis(500);

    private final ConfigurationSource configuration;

    DenialRule(ConfigurationSource configuration) {
        this.configuration = configuration;
    }

    /** Returns the refusal with the reason, or with {@code configuration-unconfirmed}. */
    Refusal refusal(RefusalReason reason, String detail) {
        return configuration.isConfirmed()
                ? Refusal.notRun(reason, detail)
                : Refusal.notRun(
                        RefusalReason.CONFIGURATION_UNCONFIRMED,
                        "the latest configuration of this host does not allow it, and a newer one may exist",
                        RETRY_AFTER);
    }

    /**
     * Returns the refusal of a reservation. The owner of a budget may not have applied the newest configuration, so that
     * it does not know a budget is not final if this host knows it.
     */
    Refusal reservationRefusal(Refusal refusal, String account) {
        if (refusal.reason() != RefusalReason.UNKNOWN_BUDGET) {
            return refusal;
        }
        boolean configured = configuration
                .get()
                .flatMap(c -> c.budget(account, Budget.ALL_ORIGINS))
                .isPresent();
        return configured
                ? Refusal.notRun(
                        RefusalReason.BUDGET_UNREACHABLE, "the owner of the budget does not know it yet", RETRY_AFTER)
                : refusal(refusal.reason(), refusal.detail());
    }
}
