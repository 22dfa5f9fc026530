package org.ragwortrun.router.internal.forward;

import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;

/**
 * What a request's head says to the router.
 *
 * @param id id of this attempt of the caller
 * @param host host that it names
 * @param target path with query
 * @param key API key
 * @param deadlineMs time for which the caller waits
 * @param usage tokens that it may consume
 * @param parts parts of its prompt, in order
 * @param lastEventId last event of the stream that the caller has, if it resumes one
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

    /** Returns the path without the query. */
    public String path() {
        int query = target.indexOf('?');
        return query < 0 ? target : target.substring(0, query);
    }
}
