package org.ragwortrun.router.internal.flow;

import com.fasterxml.jackson.core.io.JsonStringEncoder;
import java.nio.charset.StandardCharsets;

/** Writes a chat completion as server-sent events, with the usage in the last event. */
public final class EventStreamRenderer implements AnswerRenderer {
    private final String start;
    private final TextSplitter text = new TextSplitter();

    public EventStreamRenderer(String requestId, String model, long createdSeconds) {
        start = "data: {\"id\":\"" + quote(requestId) + "\",\"object\":\"chat.completion.chunk\",\"created\":"
                + createdSeconds + ",\"model\":\"" + quote(model) + "\",";
    }

    @Override
    public byte[] head() {
        return event("\"choices\":[{\"index\":0,\"delta\":{\"role\":\"assistant\",\"content\":\"\"},"
                + "\"finish_reason\":null}]");
    }

    @Override
    public byte[] part(byte[] data) {
        String content = text.add(data);
        if (content.isEmpty()) {
            return new byte[0];
        }
        return event("\"choices\":[{\"index\":0,\"delta\":{\"content\":\"" + quote(content)
                + "\"},\"finish_reason\":null}]");
    }

    @Override
    public byte[] tail(AnswerEnd end) {
        String last = start + "\"choices\":[{\"index\":0,\"delta\":{},\"finish_reason\":\"" + end.finishReason()
                + "\"}]," + usage(end) + "}\n\ndata: [DONE]\n\n";
        return last.getBytes(StandardCharsets.UTF_8);
    }

    static String usage(AnswerEnd end) {
        return "\"usage\":{\"prompt_tokens\":" + end.promptTokens() + ",\"completion_tokens\":" + end.outputTokens()
                + ",\"total_tokens\":" + (end.promptTokens() + end.outputTokens()) + "}";
    }

    static String quote(String value) {
        return new String(JsonStringEncoder.getInstance().quoteAsString(value));
    }

    private byte[] event(String members) {
        return (start + members + "}\n\n").getBytes(StandardCharsets.UTF_8);
    }
}
