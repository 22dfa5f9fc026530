package org.ragwortrun.routing;

import java.nio.charset.StandardCharsets;
import java.util.Comparator;
import java.util.Map;
import java.util.Optional;
import org.apache.commons.codec.digest.MurmurHash3;
import org.ragwortrun.core.config.Configuration;
import org.ragwortrun.core.config.Service;

/** Picks the version that runs a request, so that each version receives its share of the request ids. */
public final class VersionPicker {
    private static final int THOUSANDTHS = 1000;

    /**
     * Returns the version for a request id, which depends only on id and configuration and is never a blocked version.
     */
    public Optional<String> pick(Configuration configuration, Service service, String requestId) {
        int point = Math.floorMod(MurmurHash3.hash32x86(requestId.getBytes(StandardCharsets.UTF_8)), THOUSANDTHS);
        int end = 0;
        for (Map.Entry<String, Integer> share :
                configuration.versionShares(service).entrySet()) {
            end += share.getValue();
            if (point < end && !configuration.isBlocked(service.name(), share.getKey())) {
                return Optional.of(share.getKey());
            }
        }
        return mainVersion(configuration, service);
    }

    /**
     * Returns the version with the largest share that is not blocked. A request falls back to it when its own version
     * has no endpoint, and never to a version on trial, whose share is an upper limit.
     */
    public Optional<String> mainVersion(Configuration configuration, Service service) {
        return configuration.versionShares(service).entrySet().stream()
                .filter(e -> !configuration.isBlocked(service.name(), e.getKey()))
                .max(Comparator.comparingInt(Map.Entry::getValue))
                .map(Map.Entry::getKey);
    }
}
