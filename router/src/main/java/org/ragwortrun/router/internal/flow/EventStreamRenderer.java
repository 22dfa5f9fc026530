package org.ragwortrun.router.internal.flow;

import com.fasterxml.jackson.core.io.JsonStringEncoder;
import java.nio.charset.StandardCharsets;

/** Renders a chat completion as server-sent events, with the usage in the last event. */
public final class EventStreamRenderer implements AnswerRenderer {
    private final String start;
    private final IncrementalUtf8Decoder decoder = new IncrementalUtf8Decoder();

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
        String content = decoder.decode(data);
        if (content.isEmpty()) {
            return new byte[0];
        }
        return event("\"choices\":[{\"index\":0,\"delta\":{\"content\":\"" + quote(content)
                + "\"},\"finish_reason\":null}]");
    }

    @Override
    public byte[] tail(AnswerSummary summary) {
        String last = start + "\"choices\":[{\"index\":0,\"delta\":{},\"finish_reason\":\"" + summary.finishReason()
                + "\"}]," + usage(summary) + "}\n\ndata: [DONE]\n\n";
        return last.getBytes(StandardCharsets.UTF_8);
    }

    static String usage(AnswerSummary summary) {
        return "\"usage\":{\"prompt_tokens\":" + summary.promptTokens() + ",\"completion_tokens\":"
                + summary.outputTokens() + ",\"total_tokens\":" + (summary.promptTokens() + summary.outputTokens())
                + "}";
    }

    static String quote(String value) {
        return new String(JsonStringEncoder.getInstance().quoteAsString(value));
    }

    private byte[] event(String members) {
        return (start + members + "}\n\n").getBytes(StandardCharsets.UTF_8);
    }
}
