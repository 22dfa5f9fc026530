package org.ragwortrun.router.internal.flow;

import java.util.List;
import org.jspecify.annotations.Nullable;
import org.ragwortrun.core.refusal.Refusal;
import org.ragwortrun.proto.Header;

/** The way back to the caller of one request. Thread-safe; nothing blocks. */
public interface CallerResponse {
    /** Starts the answer. The body, if there is one, is read from {@code body} as fast as the caller takes it. */
    void start(String requestId, int status, List<Header> headers, @Nullable AnswerBody body);

    /** More of the body can be read, or it has ended. */
    void wake();

    /** Closes the connection. */
    void abort();

    /** Answers with a problem document. Must not follow {@link #start}. */
    void refuse(String requestId, Refusal refusal);
}
