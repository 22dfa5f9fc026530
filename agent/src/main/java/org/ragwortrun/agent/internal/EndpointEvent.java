package org.ragwortrun.agent.internal;

import java.util.List;
import org.ragwortrun.proto.Header;

/** An event of one request to an endpoint. */
sealed interface EndpointEvent {
    /** Sending has started, so the endpoint may run the request from now on. */
    record Sent() implements EndpointEvent {}

    /** Status and headers of the answer. */
    record Head(int status, List<Header> headers) implements EndpointEvent {}

    /**
     * A part of the answer.
     *
     * @param metered whether the part is generated text whose tokens are counted
     * @param truncatedByEngine whether the engine reports that it stopped at its token limit
     */
    record Output(byte[] data, boolean metered, long promptTokens, long outputTokens, boolean truncatedByEngine)
            implements EndpointEvent {}

    /** The answer is complete. */
    record End() implements EndpointEvent {}

    /** The answer will not be completed. */
    record Failed(String detail) implements EndpointEvent {}
}
