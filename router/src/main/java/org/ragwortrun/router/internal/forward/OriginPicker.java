package org.ragwortrun.router.internal.forward;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.DoubleSupplier;
import java.util.function.Predicate;
import org.ragwortrun.core.config.Configuration;
import org.ragwortrun.proto.ListedEndpoint;

/** Draws an origin and a version at random, weighted by their shares. */
final class OriginPicker {
    private final DoubleSupplier random;

    OriginPicker(DoubleSupplier random) {
        this.random = random;
    }

    /** Draws one of the names with a probability proportional to its share. */
    Optional<String> draw(Map<String, Integer> shares) {
        long sum = shares.values().stream().mapToLong(Integer::longValue).sum();
        double point = random.getAsDouble() * sum;
        for (Map.Entry<String, Integer> e : shares.entrySet()) {
            point -= e.getValue();
            if (point < 0) {
                return Optional.of(e.getKey());
            }
        }
        return Optional.empty();
    }

    /**
     * Returns the endpoints of a version that is drawn by its share. If it has none, returns those of all versions with
     * a share, and if these have none either, those of versions that are not the target of a running or rolled-back
     * move.
     */
    List<EndpointState> endpointsOfDrawnVersion(
            Configuration configuration, String origin, Collection<EndpointState> eligible) {
        Map<String, Integer> shares = configuration.originShares(origin);
        Optional<String> drawn = draw(shares);
        List<EndpointState> chosen =
                filter(eligible, e -> drawn.filter(e.getVersion()::equals).isPresent());
        if (chosen.isEmpty()) {
            chosen = filter(eligible, e -> shares.getOrDefault(e.getVersion(), 0) > 0);
        }
        return chosen.isEmpty()
                ? filter(
                        eligible,
                        e -> configuration.moves().stream()
                                .noneMatch(m -> m.service().equals(origin) && m.to().equals(e.getVersion())))
                : chosen;
    }

    private static List<EndpointState> filter(Collection<EndpointState> all, Predicate<ListedEndpoint> condition) {
        List<EndpointState> some = new ArrayList<>();
        for (EndpointState s : all) {
            if (condition.test(s.listed())) {
                some.add(s);
            }
        }
        return some;
    }
}
