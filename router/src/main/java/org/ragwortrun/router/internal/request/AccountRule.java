package org.ragwortrun.router.internal.request;

import java.util.Locale;
import org.ragwortrun.core.config.Account;
import org.ragwortrun.core.config.Configuration;
import org.ragwortrun.core.id.Digests;
import org.ragwortrun.core.refusal.Refusal;
import org.ragwortrun.core.refusal.RefusalReason;
import org.ragwortrun.core.refusal.RefusedException;

/** Finds the client account for an API key. */
public final class AccountRule {
    private static final String SCHEME = "bearer ";

    /**
     * Returns the account for the API key of the request.
     *
     * @throws RefusedException with {@code unknown-key} if the key is missing or unknown
     */
    public Account findAccount(CallerRequest request, Configuration configuration) throws RefusedException {
        return request.header("Authorization")
                .filter(h -> h.toLowerCase(Locale.ROOT).startsWith(SCHEME))
                .map(h -> h.substring(SCHEME.length()).trim())
                .flatMap(key -> configuration.accountByKey(Digests.apiKey(key)))
                .orElseThrow(() -> new RefusedException(Refusal.notRun(
                        RefusalReason.UNKNOWN_KEY, "expected Authorization: Bearer KEY with a known key")));
    }
}
