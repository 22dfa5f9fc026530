package org.ragwortrun.agent.internal;

import java.util.List;
import org.ragwortrun.proto.Header;

/** What an endpoint did with one request. */
sealed interface EndpointEvent {
    /** The request's bytes began to leave this host, so from here on it may run. */
    record Sent() implements EndpointEvent {}

    /** Status and headers of the answer. */
    record Head(int status, List<Header> headers) implements EndpointEvent {}

    /**
     * A part of the answer.
     *
     * @param metered whether the part counts as generated text
     * @param cutByEngine whether the engine says that it stopped at its token limit
     */
    record Output(byte[] data, boolean metered, long promptTokens, long outputTokens, boolean cutByEngine)
            implements EndpointEvent {}

    /** The answer is whole. */
    record End() implements EndpointEvent {}

    /** The answer will not be completed. */
    record Failed(String detail) implements EndpointEvent {}
}
