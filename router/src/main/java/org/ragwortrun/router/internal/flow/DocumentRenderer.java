package org.ragwortrun.router.internal.flow;

import java.nio.charset.StandardCharsets;

/** Renders a chat completion as one JSON document, incrementally, so that long answers need not be held in memory. */
public final class DocumentRenderer implements AnswerRenderer {
    private final String start;
    private final IncrementalUtf8Decoder decoder = new IncrementalUtf8Decoder();

    public DocumentRenderer(String requestId, String model, long createdSeconds) {
        start = "{\"id\":\"" + EventStreamRenderer.quote(requestId) + "\",\"object\":\"chat.completion\",\"created\":"
                + createdSeconds + ",\"model\":\"" + EventStreamRenderer.quote(model)
                + "\",\"choices\":[{\"index\":0,\"message\":{\"role\":\"assistant\",\"content\":\"";
    }

    @Override
    public byte[] head() {
        return start.getBytes(StandardCharsets.UTF_8);
    }

    @Override
    public byte[] part(byte[] data) {
        return EventStreamRenderer.quote(decoder.decode(data)).getBytes(StandardCharsets.UTF_8);
    }

    @Override
    public byte[] tail(AnswerSummary summary) {
        String last = "\"},\"finish_reason\":\"" + summary.finishReason() + "\"}]," + EventStreamRenderer.usage(summary)
                + "}";
        return last.getBytes(StandardCharsets.UTF_8);
    }
}
