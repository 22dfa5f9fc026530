package org.ragwortrun.router.internal.flow;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import org.ragwortrun.proto.Chunk;
import org.ragwortrun.router.internal.request.AdmittedRequest;
import org.ragwortrun.routing.AnswerGapException;
import org.ragwortrun.routing.BufferOverflowException;
import org.ragwortrun.routing.ChunkOrder;
import org.ragwortrun.routing.StreamBuffer;

/**
 * Takes the chunks of one answer in order, whichever agents they come from.
 *
 * <p>Used on the mailbox of the request only; the buffer is shared with the caller's side.
 */
final class AnswerIntake {
    private static final int REGISTER_ANSWER_BYTES = 8 << 10;

    private final StreamBuffer buffer;
    private final int keptBytes;
    private ChunkOrder order = new ChunkOrder();
    private final ByteArrayOutputStream text = new ByteArrayOutputStream();
    private boolean textKept;
    private long outputTokens;
    private boolean callerGone;

    /**
     * Creates an intake.
     *
     * @param keptBytes most bytes of the answer that are kept, for a resume or for the register; 0 for none
     */
    AnswerIntake(StreamBuffer buffer, int keptBytes) {
        this.buffer = buffer;
        this.keptBytes = keptBytes;
        textKept = keptBytes > 0;
    }

    /** Creates the intake of a request: text is kept for a resume, and for the register of requests that run once. */
    static AnswerIntake of(AdmittedRequest request, StreamBuffer buffer, int resumeBytes) {
        if (!request.route().repeatable()) {
            return new AnswerIntake(buffer, REGISTER_ANSWER_BYTES);
        }
        return new AnswerIntake(buffer, request.isModel() ? resumeBytes : 0);
    }

    /** Takes an answer that the register kept. Returns false if the buffer has no room for it. */
    boolean acceptKept(byte[] whole) {
        buffer.widenFully();
        if (buffer.grant() < whole.length) {
            return false;
        }
        try {
            buffer.add(order.accept(0, whole), whole.length);
            return true;
        } catch (AnswerGapException | BufferOverflowException e) {
            return false;
        }
    }

    /**
     * Takes a chunk.
     *
     * @throws AnswerGapException if bytes before the chunk are missing
     * @throws BufferOverflowException if the agent sent more than its credit
     */
    void accept(Chunk chunk) throws AnswerGapException, BufferOverflowException {
        byte[] raw = chunk.getData().toByteArray();
        byte[] fresh = order.accept(chunk.getOffset(), raw);
        outputTokens = Math.max(outputTokens, chunk.getOutputTokens());
        keep(fresh);
        if (!callerGone) {
            buffer.add(fresh, raw.length);
        }
    }

    /** From now on chunks are dropped, because nobody reads them. */
    void discard() {
        callerGone = true;
        buffer.close();
    }

    /** Forgets what has arrived, because the caller has seen nothing of it and gets another answer. */
    void restart() {
        order = new ChunkOrder();
        outputTokens = 0;
        text.reset();
        textKept = keptBytes > 0;
        buffer.clear();
    }

    /** Returns the number of bytes that have arrived in order. */
    long length() {
        return order.next();
    }

    long outputTokens() {
        return outputTokens;
    }

    /** Returns whether another endpoint can continue the answer. */
    boolean canResume() {
        return length() == 0 || textKept;
    }

    /** Returns whether all that has arrived is kept. */
    boolean keepsText() {
        return textKept;
    }

    /** Returns the text that has arrived. */
    String text() {
        return text.toString(StandardCharsets.UTF_8);
    }

    private void keep(byte[] fresh) {
        if (!textKept) {
            return;
        }
        if (text.size() + fresh.length > keptBytes) {
            textKept = false;
            text.reset();
        } else {
            text.writeBytes(fresh);
        }
    }
}
