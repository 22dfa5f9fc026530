package org.ragwortrun.router.internal.flow;

import java.util.List;
import org.jspecify.annotations.Nullable;
import org.ragwortrun.core.refusal.Refusal;
import org.ragwortrun.proto.Header;

/** The HTTP response to the caller of one request. Thread-safe; no method blocks. */
public interface CallerResponse {
    /** Starts the answer. The body, if there is one, is read from {@code body} at the pace of the caller. */
    void start(String requestId, int status, List<Header> headers, @Nullable AnswerBody body);

    /** Signals that more of the body can be read or that the body has ended. */
    void wake();

    /** Closes the connection. */
    void abort();

    /** Answers with a problem document. Must not be called after {@link #start}. */
    void refuse(String requestId, Refusal refusal);
}
