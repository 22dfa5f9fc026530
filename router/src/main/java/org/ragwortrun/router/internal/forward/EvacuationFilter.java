package org.ragwortrun.router.internal.forward;

import java.util.Optional;
import org.ragwortrun.core.config.Account;
import org.ragwortrun.core.config.Configuration;
import org.ragwortrun.core.config.Forward;

/** Excludes the endpoints of data centers that operators evacuate. */
final class EvacuationFilter implements EndpointFilter {
    @Override
    public Optional<String> exclusion(
            EndpointState endpoint, Configuration configuration, Forward route, Optional<Account> account) {
        return configuration.isEvacuated(endpoint.listed().getDataCenter())
                ? Optional.of("data-center-evacuated")
                : Optional.empty();
    }
}
