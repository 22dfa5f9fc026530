package org.ragwortrun.router.internal.flow;

import java.nio.charset.StandardCharsets;

/** Writes a chat completion as one JSON document, piece by piece, so that a long answer need not be gathered. */
public final class DocumentRenderer implements AnswerRenderer {
    private final String start;
    private final TextSplitter text = new TextSplitter();

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
        return EventStreamRenderer.quote(text.add(data)).getBytes(StandardCharsets.UTF_8);
    }

    @Override
    public byte[] tail(AnswerEnd end) {
        String last = "\"},\"finish_reason\":\"" + end.finishReason() + "\"}]," + EventStreamRenderer.usage(end) + "}";
        return last.getBytes(StandardCharsets.UTF_8);
    }
}
