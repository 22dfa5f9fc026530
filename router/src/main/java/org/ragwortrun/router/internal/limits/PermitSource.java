package org.ragwortrun.router.internal.limits;

import java.util.function.Consumer;
import org.ragwortrun.routing.EndpointLimit;

/** Source of permits for requests to endpoints with a limit or a ramp. Used on the event loop. */
public interface PermitSource {
    /**
     * Asks for a permit for one request. Blocks the limit if there is none.
     *
     * @param decided receives on the event loop whether the request may be sent
     */
    void acquire(String endpoint, EndpointLimit limit, Consumer<Boolean> decided);

    /** Reports the newest statement of an endpoint, and what is known of its ramp, to its coordinator. */
    void report(String endpoint, EndpointLimit limit);
}
