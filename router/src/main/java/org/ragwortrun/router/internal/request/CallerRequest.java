package org.ragwortrun.router.internal.request;

import java.util.List;
import java.util.Optional;
import org.ragwortrun.proto.Header;

/**
 * A request as received from a caller.
 *
 * @param method HTTP method
 * @param target path with query
 * @param headers headers
 * @param body complete body
 */
@SuppressWarnings("ArrayRecordComponent")
public record CallerRequest(String method, String target, List<Header> headers, byte[] body) {
    /** Returns the path without the query. */
    public String path() {
        int query = target.indexOf('?');
        return query < 0 ? target : target.substring(0, query);
    }

    /** Returns the first header with a name, ignoring case. */
    public Optional<String> header(String name) {
        return headers.stream()
                .filter(h -> h.getName().equalsIgnoreCase(name))
                .map(Header::getValue)
                .findFirst();
    }

    /** Returns the caller's id for this request, if there is one. */
    public Optional<String> idempotencyKey() {
        return header("Idempotency-Key").map(String::trim).filter(t -> !t.isEmpty());
    }
}
