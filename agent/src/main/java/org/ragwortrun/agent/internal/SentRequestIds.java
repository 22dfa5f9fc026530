package org.ragwortrun.agent.internal;

import java.util.LinkedHashSet;
import java.util.Set;
import org.apache.hc.core5.http.Header;
import org.apache.hc.core5.http.HttpResponse;
import org.apache.hc.core5.http.ProtocolException;

/**
 * Rejects answers that name another request that was sent to the endpoint.
 *
 * <p>An answer need not name its request, and an endpoint may use ids of its own. So an answer is rejected only if its id
 * is that of another request among the last ones sent.
 */
final class SentRequestIds {
    /** Header that names the request. */
    static final String HEADER = "X-Request-Id";

    private static final int MAX_IDS = 4_096;

    private final Set<String> ids = new LinkedHashSet<>();

    /** Remembers the id of a request that is about to be sent, and forgets the oldest id if there are too many. */
    synchronized void add(String id) {
        ids.remove(id);
        ids.add(id);
        if (ids.size() > MAX_IDS) {
            ids.remove(ids.iterator().next());
        }
    }

    /**
     * Checks the head of an answer.
     *
     * @param ownId id of the request that waits for the answer; empty if it has none
     * @throws ProtocolException if the answer names another request
     */
    synchronized void rejectOther(HttpResponse head, String ownId) throws ProtocolException {
        for (Header h : head.getHeaders(HEADER)) {
            if (!ownId.equals(h.getValue()) && ids.contains(h.getValue())) {
                throw new ProtocolException("answer-to-other-request");
            }
        }
    }
}
