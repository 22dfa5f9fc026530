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
 * Assembles the chunks of one answer in order, even if they come from several agents.
 *
 * <p>Used only on the mailbox of the request; the buffer is shared with the reader of the answer.
 */
final class AnswerAssembler {
    private static final int MAX_REGISTER_ANSWER_BYTES = 8 << 10;

    private final StreamBuffer buffer;
    private final int maxKeptBytes;
    private ChunkOrder order = new ChunkOrder();
    private final ByteArrayOutputStream text = new ByteArrayOutputStream();
    private boolean textKept;
    private long outputTokens;
    private boolean discarding;

    /**
     * Creates an assembler.
     *
     * @param maxKeptBytes maximum bytes of the answer to keep for a resume or for the register; 0 for none
     */
    AnswerAssembler(StreamBuffer buffer, int maxKeptBytes) {
        this.buffer = buffer;
        this.maxKeptBytes = maxKeptBytes;
        textKept = maxKeptBytes > 0;
    }

    /** Creates an assembler that keeps the text for a resume or, if the request may run only once, for the register. */
    static AnswerAssembler of(AdmittedRequest request, StreamBuffer buffer, int resumeBytes) {
        if (!request.route().repeatable()) {
            return new AnswerAssembler(buffer, MAX_REGISTER_ANSWER_BYTES);
        }
        return new AnswerAssembler(buffer, request.isModel() ? resumeBytes : 0);
    }

    /** Adds an answer that the register stored. Returns false if the buffer has no room for it. */
    boolean acceptStored(byte[] stored) {
        buffer.widenFully();
        if (buffer.grant() < stored.length) {
            return false;
        }
        try {
            buffer.add(order.accept(0, stored), stored.length);
            return true;
        } catch (AnswerGapException | BufferOverflowException e) {
            return false;
        }
    }

    /**
     * Adds a chunk.
     *
     * @throws AnswerGapException if bytes before the chunk are missing
     * @throws BufferOverflowException if the agent sent more than its credit
     */
    void accept(Chunk chunk) throws AnswerGapException, BufferOverflowException {
        byte[] raw = chunk.getData().toByteArray();
        byte[] fresh = order.accept(chunk.getOffset(), raw);
        outputTokens = Math.max(outputTokens, chunk.getOutputTokens());
        keep(fresh);
        if (!discarding) {
            buffer.add(fresh, raw.length);
        }
    }

    /** Closes the buffer and drops all further chunks, because the answer is no longer read. */
    void startDiscarding() {
        discarding = true;
        buffer.close();
    }

    /** Discards what has arrived. Must be called only while none of it has been sent to the caller. */
    void reset() {
        order = new ChunkOrder();
        outputTokens = 0;
        text.reset();
        textKept = maxKeptBytes > 0;
        buffer.clear();
    }

    /** Returns the number of bytes that have arrived in order. */
    long length() {
        return order.nextOffset();
    }

    long outputTokens() {
        return outputTokens;
    }

    /** Returns whether another endpoint can continue the answer. */
    boolean canResume() {
        return length() == 0 || textKept;
    }

    /** Returns whether all text that has arrived is kept. */
    boolean hasCompleteText() {
        return textKept;
    }

    /** Returns the kept text. */
    String text() {
        return text.toString(StandardCharsets.UTF_8);
    }

    private void keep(byte[] fresh) {
        if (!textKept) {
            return;
        }
        if (text.size() + fresh.length > maxKeptBytes) {
            textKept = false;
            text.reset();
        } else {
            text.writeBytes(fresh);
        }
    }
}
