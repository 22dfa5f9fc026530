package org.ragwortrun.router.internal.request;

import com.google.protobuf.ByteString;
import java.util.List;

/**
 * The fields of a chat-completions request that the router uses.
 *
 * @param model model name
 * @param stream whether the caller wants server-sent events
 * @param promptBound upper bound of the prompt in tokens
 * @param maxOutput output limit in tokens set by the caller, 0 if none
 * @param sharedParts digests of the messages that other requests may share: all but the last one, up to a limit
 * @param prefixHash hash of the first message, used as a hint for prefix caches
 */
public record ChatRequest(
        String model,
        boolean stream,
        long promptBound,
        long maxOutput,
        List<ByteString> sharedParts,
        long prefixHash) {}
