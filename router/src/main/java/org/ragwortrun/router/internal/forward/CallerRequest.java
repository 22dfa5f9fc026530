package org.ragwortrun.router.internal.forward;

import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.stream.Collectors;

/**
 * Values that the router reads from the head of a request.
 *
 * @param id id of this attempt by the caller
 * @param host value of the Host header
 * @param target request target: path with query
 * @param key API key
 * @param deadlineMs time in milliseconds that the caller waits for an answer
 * @param usage tokens that the request may consume
 * @param parts parts of the prompt, in order
 * @param lastEventId id of the last event that the caller received, if it resumes a stream
 */
public record CallerRequest(
        String id,
        String host,
        String target,
        Optional<String> key,
        OptionalLong deadlineMs,
        Optional<TokenUsage> usage,
        List<PromptPart> parts,
        OptionalLong lastEventId) {

    /** Returns the ids of the parts of the prompt for a log line. */
    String partIds() {
        return parts.stream().map(PromptPart::id).collect(Collectors.joining(","));
    }

    /** Returns the path without the query. */
    public String path() {
        return path(target);
    }

    /** Returns the path of a request target, without the query. */
    static String path(String target) {
        int query = target.indexOf('?');
        return query < 0 ? target : target.substring(0, query);
    }
}
