package org.ragwortrun.agent.internal;

import java.util.HashMap;
import java.util.Map;
import org.ragwortrun.core.config.Service;

/** Chooses the endpoint's dialect from the configuration. */
interface EndpointPort {
    EndpointClient client(Service.Kind kind, String dedupeHeader);

    /** Keeps one client for each kind of endpoint. */
    static EndpointPort caching(EndpointPort maker) {
        Map<String, EndpointClient> clients = new HashMap<>();
        return (kind, header) -> clients.computeIfAbsent(kind + "/" + header, k -> maker.client(kind, header));
    }
}
