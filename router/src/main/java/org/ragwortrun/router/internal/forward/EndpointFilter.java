package org.ragwortrun.router.internal.forward;

import java.util.Optional;
import org.ragwortrun.core.config.Account;
import org.ragwortrun.core.config.Configuration;
import org.ragwortrun.core.config.Forward;

/** Rule that excludes endpoints from a request, whatever their load. */
interface EndpointFilter {
    /**
     * Returns why an endpoint must not get a request, empty if it may.
     *
     * @param account client account of the request, if it has one
     */
    Optional<String> exclusion(
            EndpointState endpoint, Configuration configuration, Forward route, Optional<Account> account);
}
