package org.ragwortrun.router.internal.forward;

import java.util.Optional;
import java.util.Set;
import java.util.function.Function;
import org.ragwortrun.core.config.Account;
import org.ragwortrun.core.config.Configuration;
import org.ragwortrun.core.config.Forward;
import org.ragwortrun.core.config.HomeRegions;

/**
 * Excludes endpoints outside the regions of the request's route or client account, and endpoints whose region is unknown.
 *
 * <p>A request that was admitted by an earlier configuration obeys the current restrictions of its route and account.
 */
final class HomeRegionFilter implements EndpointFilter {
    private final Function<String, Optional<String>> regionOf;

    /**
     * Creates the filter.
     *
     * @param regionOf returns the region of a data center, if it is known
     */
    HomeRegionFilter(Function<String, Optional<String>> regionOf) {
        this.regionOf = regionOf;
    }

    @Override
    public Optional<String> exclusion(
            EndpointState endpoint, Configuration configuration, Forward route, Optional<Account> account) {
        if (!configuration.restrictsRegions()) {
            return Optional.empty();
        }
        HomeRegions home = new HomeRegions(
                configuration.forwards().named(route.name()).orElse(route).regions(),
                account.map(a -> configuration.account(a.name()).orElse(a).regions())
                        .orElse(Set.of()));
        return !home.isRestricted()
                        || home.permit(regionOf.apply(endpoint.listed().getDataCenter()))
                ? Optional.empty()
                : Optional.of("outside-home-regions");
    }
}
