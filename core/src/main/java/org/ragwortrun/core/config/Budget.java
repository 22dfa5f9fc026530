package org.ragwortrun.core.config;

import java.util.Map;

/**
 * The prepaid budget of a client account for one service.
 *
 * @param account client account
 * @param service service
 * @param topUps tokens by top-up id; an accepted top-up is never changed or removed
 */
public record Budget(String account, String service, Map<String, Long> topUps) {}
