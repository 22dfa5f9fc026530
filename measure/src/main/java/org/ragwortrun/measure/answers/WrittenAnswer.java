package org.ragwortrun.measure.answers;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;

/**
 * An answer whose whole head an endpoint wrote.
 *
 * @param answer the answer
 * @param transcript connection on which it was written
 * @param bodyStart position in the transcript that follows the head
 */
record WrittenAnswer(Answer answer, Transcript transcript, int bodyStart) {
    /** Returns whether a received body is the declared one, and the endpoint wrote it whole. */
    boolean isWhole(String received) {
        return received.equals(answer.hasBody() ? answer.body() : "") && startsWith(answer.bodyBytes());
    }

    /**
     * Returns whether a received body is what a reader has to take for it.
     *
     * <p>Bytes that the endpoint inserted into a body with a length, or into one that ends with its connection, cannot be
     * told from the body, whether they stand after the head or after a part of the body. In chunks they can, because an
     * inserted answer does not begin with the size of a chunk. Status, id and proof are still those of this answer.
     */
    boolean isReadAs(String received) {
        byte[] sent = transcript.bytes();
        byte[] read = received.getBytes(StandardCharsets.ISO_8859_1);
        int end =
                switch (answer.framing()) {
                    case LENGTH -> bodyStart + answer.body().length();
                    case UNTIL_CLOSE -> transcript.endedCleanly() ? sent.length : -1;
                    case CHUNKS -> -1;
                };
        return end >= bodyStart && end <= sent.length && Arrays.equals(read, Arrays.copyOfRange(sent, bodyStart, end));
    }

    private boolean startsWith(byte[] body) {
        byte[] sent = transcript.bytes();
        int end = bodyStart + body.length;
        return end <= sent.length
                && Arrays.equals(body, Arrays.copyOfRange(sent, bodyStart, end))
                && (answer.framing() != Framing.UNTIL_CLOSE || !answer.hasBody() || transcript.endedCleanly());
    }
}
