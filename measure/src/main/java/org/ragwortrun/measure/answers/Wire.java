package org.ragwortrun.measure.answers;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

/** The bytes of answers that are written together. */
final class Wire {
    private final ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    private final List<Begun> begun = new ArrayList<>();

    static byte[] ascii(String text) {
        return text.getBytes(StandardCharsets.ISO_8859_1);
    }

    /** Adds an answer, cut after a number of bytes. */
    void add(Answer answer, int most) {
        byte[] head = answer.head();
        byte[] body = answer.bodyBytes();
        bytes.writeBytes(Arrays.copyOf(head, Math.min(head.length, most)));
        if (most >= head.length) {
            begun.add(new Begun(answer, bytes.size()));
            bytes.writeBytes(Arrays.copyOf(body, Math.min(body.length, most - head.length)));
        }
    }

    /** Records the answers whose head is whole. */
    void recordIn(EndpointRecord record, Transcript transcript) {
        int start = transcript.length();
        begun.forEach(b -> record.onWritten(new WrittenAnswer(b.answer(), transcript, start + b.bodyStart())));
    }

    byte[] bytes() {
        return bytes.toByteArray();
    }

    private record Begun(Answer answer, int bodyStart) {}
}
