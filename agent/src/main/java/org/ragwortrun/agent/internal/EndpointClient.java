package org.ragwortrun.agent.internal;

import org.ragwortrun.proto.Dispatch;

/** Dialect of an endpoint. Runs each request at most once, but for endpoints that recognize repeated requests. */
interface EndpointClient {
    EndpointCall start(Dispatch dispatch, EndpointListener listener);

    /** Returns whether answers are text that the client takes out of the engine's events. */
    boolean isText();
}
