package org.ragwortrun.router.internal.forward;

import org.ragwortrun.core.log.Event;

/**
 * Describes the connection of a request to an endpoint in log lines.
 *
 * @param localPort port of this host, which also appears in the endpoint's logs and in packet captures; 0 if there was
 *     no connection
 * @param requests number of requests that were sent on the connection
 * @param dropped number of answers to other requests that arrived while the latest request waited
 * @param received status of the latest head that did not name another request, accepted or not; 0 if there was none
 * @param proof proof in that head, or an empty string
 */
record ConnectionTrace(int localPort, int requests, int dropped, int received, String proof) {
    static final ConnectionTrace NONE = new ConnectionTrace(0, 0, 0, 0, "");

    Event addTo(Event event) {
        return event.with("received", received)
                .withExternal("proof", proof)
                .with("connection", localPort)
                .with("connection-requests", requests)
                .with("dropped", dropped);
    }
}
