package org.ragwortrun.core.config;

import java.util.Optional;
import java.util.Set;

/**
 * Regions to which a request is restricted. Both restrictions apply, and an empty set restricts nothing.
 *
 * @param ofRoute regions that the route of the request names
 * @param ofAccount regions that its client account names
 */
public record HomeRegions(Set<String> ofRoute, Set<String> ofAccount) {
    public boolean isRestricted() {
        return !ofRoute.isEmpty() || !ofAccount.isEmpty();
    }

    /** Returns whether an endpoint may get the request. An unknown region satisfies no restriction. */
    public boolean permit(Optional<String> region) {
        return !isRestricted()
                || region.filter(r -> ofRoute.isEmpty() || ofRoute.contains(r))
                        .filter(r -> ofAccount.isEmpty() || ofAccount.contains(r))
                        .isPresent();
    }
}
