package org.ragwortrun.core.config;

import java.util.Map;
import java.util.OptionalLong;

/**
 * The prepaid budget of a client account for one service, or for all origins together.
 *
 * @param account client account
 * @param service service, {@link #ALL_ORIGINS} for all origins together
 * @param topUps tokens by top-up id; an accepted top-up is never changed or removed
 * @param total the whole prepaid amount, which a later configuration may change; replaces top-ups
 */
public record Budget(String account, String service, Map<String, Long> topUps, OptionalLong total) {
    /** Service name in the budget that an account has for all origins. */
    public static final String ALL_ORIGINS = "*";

    public Budget(String account, String service, Map<String, Long> topUps) {
        this(account, service, topUps, OptionalLong.empty());
    }
}
