package org.ragwortrun.router.internal.http;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import org.ragwortrun.core.refusal.Refusal;

/** Writes refusals as problem documents (RFC 9457). */
public final class ProblemWriter {
    /** Media type of the documents. */
    public static final String MEDIA_TYPE = "application/problem+json";

    private static final String TYPE_PREFIX = "urn:ragwortrun:refusal:";
    private static final long MILLIS_PER_SECOND = 1000;

    private final ObjectMapper json;

    public ProblemWriter(ObjectMapper json) {
        this.json = json;
    }

    /** Returns the problem document for a refusal as JSON. */
    public byte[] write(String requestId, Refusal refusal) {
        ObjectNode problem = json.createObjectNode()
                .put("type", TYPE_PREFIX + refusal.reason().code())
                .put("title", refusal.reason().title())
                .put("status", refusal.reason().status())
                .put("detail", refusal.detail())
                .put("reason", refusal.reason().code())
                .put("run", refusal.run().text())
                .put("request_id", requestId);
        try {
            return json.writeValueAsBytes(problem);
        } catch (JsonProcessingException e) {
            // Not expected, since strings and numbers always have a JSON form. The reason alone informs the caller.
            return ("{\"reason\":\"" + refusal.reason().code() + "\"}").getBytes(StandardCharsets.UTF_8);
        }
    }

    /** Returns the value of the Retry-After header in whole seconds, rounded up. */
    public static long retryAfterSeconds(Duration after) {
        return Math.max(1, (after.toMillis() + MILLIS_PER_SECOND - 1) / MILLIS_PER_SECOND);
    }
}
