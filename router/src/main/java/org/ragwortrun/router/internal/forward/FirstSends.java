package org.ragwortrun.router.internal.forward;

import java.util.HashSet;
import java.util.Set;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.ragwortrun.core.log.Event;

/**
 * Logs the first request that is sent for each route and origin under each configuration.
 *
 * <p>The line of a request is written at its end and is missing if the process ends before. These lines then show by which
 * configurations requests were sent. A line for each request would take an eighth of a router's processor time. Not
 * thread-safe.
 */
final class FirstSends {
    private static final Logger LOG = LogManager.getLogger(FirstSends.class);

    private final Set<Target> sent = new HashSet<>();
    private long newest;

    private record Target(String route, String origin) {}

    void onSent(Admitted admitted, String requestId, String endpoint) {
        String route = admitted.route().name();
        String origin = admitted.origin().name();
        if (isFirst(route, origin, admitted.configuration())) {
            admitted.addTo(Event.of("first-request-sent")
                            .with("id", requestId)
                            .with("route", route)
                            .with("origin", origin)
                            .with("endpoint", endpoint))
                    .info(LOG);
        }
    }

    /** Records a request and returns whether its configuration is an old one or is new for its route and origin. */
    boolean isFirst(String route, String origin, long configuration) {
        if (configuration > newest) {
            newest = configuration;
            sent.clear();
        }
        return configuration < newest || sent.add(new Target(route, origin));
    }
}
