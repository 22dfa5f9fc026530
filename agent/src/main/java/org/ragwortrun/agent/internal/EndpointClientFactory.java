package org.ragwortrun.agent.internal;

import java.util.HashMap;
import java.util.Map;
import org.ragwortrun.core.config.Service;

/** Creates the client for the endpoint's kind of service. */
interface EndpointClientFactory {
    EndpointClient client(Service.Kind kind, String dedupeHeader);

    /** Returns a factory that creates one client for each kind of service and dedupe header. */
    static EndpointClientFactory caching(EndpointClientFactory factory) {
        Map<String, EndpointClient> clients = new HashMap<>();
        return (kind, header) -> clients.computeIfAbsent(kind + "/" + header, k -> factory.client(kind, header));
    }
}
