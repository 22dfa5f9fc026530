package org.ragwortrun.router.internal.request;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.google.protobuf.ByteString;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.stream.IntStream;
import org.apache.commons.codec.digest.MurmurHash3;
import org.ragwortrun.core.id.Digests;
import org.ragwortrun.core.refusal.Refusal;
import org.ragwortrun.core.refusal.RefusalReason;
import org.ragwortrun.core.refusal.RefusedException;

/** Reads chat-completions requests. */
public final class ChatReader {
    // Chat templates add a few tokens for the role and the delimiters of each message.
    private static final long TOKENS_PER_MESSAGE = 8;
    private static final int MAX_SHARED_PARTS = 32;
    // Prevents overflow when it is added to the prompt bound.
    private static final long MAX_OUTPUT = 1_000_000_000;

    private final ObjectMapper json;

    public ChatReader(ObjectMapper json) {
        this.json = json;
    }

    /**
     * Parses a body.
     *
     * @throws RefusedException with {@code malformed-request}
     */
    public ChatRequest read(byte[] body) throws RefusedException {
        JsonNode root = parse(body);
        JsonNode messages = root.path("messages");
        if (!root.path("model").isTextual() || !messages.isArray() || messages.isEmpty()) {
            throw malformed("expected a JSON object with model and messages");
        }
        long bound = 0;
        for (JsonNode message : messages) {
            requireText(message.path("content"));
            bound += TOKENS_PER_MESSAGE + promptBytes(message);
        }
        // Only the engine knows how tool definitions appear in the prompt; their JSON text is longer than that form.
        bound += root.path("tools").isMissingNode()
                ? 0
                : bytes(root.path("tools").toString());
        byte[] first = messages.get(0).toString().getBytes(StandardCharsets.UTF_8);
        String model = root.path("model").asText();
        return new ChatRequest(
                model,
                stream(root),
                bound,
                maxOutput(root),
                sharedParts(model, messages),
                MurmurHash3.hash32x86(first));
    }

    private static List<ByteString> sharedParts(String model, JsonNode messages) {
        return IntStream.range(0, Math.min(MAX_SHARED_PARTS, messages.size() - 1))
                .mapToObj(messages::get)
                .map(m -> ByteString.copyFrom(Digests.promptPart(model, m.toString())))
                .toList();
    }

    private JsonNode parse(byte[] body) throws RefusedException {
        JsonNode root;
        try {
            root = json.readTree(body);
        } catch (IOException e) {
            // The parser's message may quote the caller's text, which must not appear in logs or answers.
            root = null;
        }
        if (root == null || !root.isObject()) {
            throw malformed("the body is not a JSON object");
        }
        return root;
    }

    /** Refuses images and other non-text parts, because their size in bytes does not bound their tokens. */
    private static void requireText(JsonNode content) throws RefusedException {
        for (JsonNode part : content) {
            if (!"text".equals(part.path("type").asText())) {
                throw malformed("message content must be text");
            }
        }
    }

    private static boolean stream(JsonNode root) throws RefusedException {
        JsonNode stream = root.path("stream");
        if (!stream.isMissingNode() && !stream.isNull() && !stream.isBoolean()) {
            throw malformed("stream must be true or false");
        }
        return stream.asBoolean(false);
    }

    private static long maxOutput(JsonNode root) throws RefusedException {
        long limit = 0;
        for (String key : new String[] {"max_completion_tokens", "max_tokens"}) {
            JsonNode n = root.path(key);
            if (n.isMissingNode() || n.isNull()) {
                continue;
            }
            if (!n.isIntegralNumber() || !n.canConvertToLong() || n.asLong() < 1 || n.asLong() > MAX_OUTPUT) {
                throw malformed(key + " must be a whole number from 1 to " + MAX_OUTPUT);
            }
            limit = limit == 0 ? n.asLong() : Math.min(limit, n.asLong());
        }
        return limit;
    }

    /** Counts the bytes of all texts in a message. A token has at least one byte, so this bounds the tokens. */
    private static long promptBytes(JsonNode node) {
        if (node.isValueNode()) {
            return node.isNull() ? 0 : bytes(node.asText());
        }
        long sum = 0;
        for (JsonNode child : node) {
            sum += promptBytes(child);
        }
        return sum;
    }

    private static long bytes(String text) {
        return text.getBytes(StandardCharsets.UTF_8).length;
    }

    private static RefusedException malformed(String detail) {
        return new RefusedException(Refusal.notRun(RefusalReason.MALFORMED_REQUEST, detail));
    }
}
