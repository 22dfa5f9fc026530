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

/** Draws an origin and a version by their shares. */
final class OriginPicker {
    private final DoubleSupplier random;

    OriginPicker(DoubleSupplier random) {
        this.random = random;
    }

    /** Returns one of the names, each as often as its share tells. */
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
     * Returns the endpoints of the version that is drawn. If it has none, those of any version that gets a share, and
     * if no version that gets a share has any, those of versions that no move tries or has taken back.
     */
    List<EndpointState> ofVersion(Configuration configuration, String origin, Collection<EndpointState> open) {
        Map<String, Integer> shares = configuration.originShares(origin);
        Optional<String> drawn = draw(shares);
        List<EndpointState> chosen =
                filter(open, e -> drawn.filter(e.getVersion()::equals).isPresent());
        if (chosen.isEmpty()) {
            chosen = filter(open, e -> shares.getOrDefault(e.getVersion(), 0) > 0);
        }
        return chosen.isEmpty()
                ? filter(
                        open,
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
