package org.ragwortrun.router.internal.forward;

import java.time.Duration;
import org.ragwortrun.core.config.Configuration;
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

    /**
     * Returns the refusal with the reason, or with {@code configuration-unconfirmed}.
     *
     * @param used configuration that does not allow the request, which may not be the latest one any more
     */
    Refusal refusal(Configuration used, RefusalReason reason, String detail) {
        return configuration.isConfirmed(used)
                ? Refusal.notRun(reason, detail)
                : Refusal.notRun(
                        RefusalReason.CONFIGURATION_UNCONFIRMED,
                        "the latest configuration of this host does not allow it, and a newer one may exist",
                        RETRY_AFTER);
    }
}
