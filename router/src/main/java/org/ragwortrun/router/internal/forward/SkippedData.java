package org.ragwortrun.router.internal.forward;

import io.netty.buffer.ByteBuf;
import java.nio.charset.StandardCharsets;
import java.util.regex.Pattern;
import org.jspecify.annotations.Nullable;

/**
 * Answers to other requests and interim answers, which are discarded while a request waits for its own answer.
 *
 * <p>If an endpoint breaks off an answer within its body, the next answer is taken for the rest of that body. The body
 * then contains the header with the id of the request that waits.
 */
final class SkippedData {
    private static final long MAX_BYTES = 64 << 10;
    private static final int MAX_MESSAGES = 32;
    private static final int MAX_SPACES = 2;

    private final String idHeader;
    private final String requestId;
    private @Nullable Pattern awaitedHeader;
    private String lastChars = "";
    private long bytes;
    private int messages;
    private boolean awaitedAnswerFound;

    /**
     * Creates a record of the data that precedes an answer.
     *
     * @param idHeader name of the header that names the request
     * @param requestId id of the request that waits
     */
    SkippedData(String idHeader, String requestId) {
        this.idHeader = idHeader;
        this.requestId = requestId;
    }

    void addHead() {
        messages++;
    }

    /** Adds a part of a body, which may arrive cut anywhere. */
    void addBody(ByteBuf part) {
        if (!part.isReadable()) {
            return;
        }
        bytes += part.readableBytes();
        String text = lastChars + part.toString(StandardCharsets.ISO_8859_1);
        awaitedAnswerFound |= awaitedHeader().matcher(text).find();
        int longestHeader = idHeader.length() + 1 + MAX_SPACES + requestId.length();
        lastChars = text.substring(Math.max(0, text.length() - longestHeader));
    }

    // Compiled only if data is skipped, because there is an instance for each request.
    private Pattern awaitedHeader() {
        Pattern p = awaitedHeader;
        if (p == null) {
            p = Pattern.compile(
                    "(?i:" + Pattern.quote(idHeader) + "):\\s{0," + MAX_SPACES + "}" + Pattern.quote(requestId));
            awaitedHeader = p;
        }
        return p;
    }

    /** Returns whether there was more than an endpoint may send before an answer. */
    boolean isEndless() {
        return bytes > MAX_BYTES || messages > MAX_MESSAGES;
    }

    /** Returns whether the answer of the request that waits was part of a body that was skipped. */
    boolean containsAwaitedAnswer() {
        return awaitedAnswerFound;
    }
}
