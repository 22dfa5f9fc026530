package org.ragwortrun.agent.internal;

import org.ragwortrun.proto.Dispatch;

/** Client for one kind of endpoint. Sends each request at most once, except to endpoints that deduplicate requests. */
interface EndpointClient {
    EndpointCall start(Dispatch dispatch, EndpointListener listener);

    /** Returns whether answers are text that the client extracts from the engine's events. */
    boolean isText();
}
