package org.ragwortrun.router.internal.flow;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import org.ragwortrun.proto.Chunk;
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
    private final StreamBuffer buffer;
    private final int resumeBytes;
    private final ChunkOrder order = new ChunkOrder();
    private final ByteArrayOutputStream text = new ByteArrayOutputStream();
    private boolean textKept;
    private long outputTokens;
    private boolean callerGone;

    /**
     * Creates an intake.
     *
     * @param keepText whether the text is kept, so that the answer can be resumed from it
     * @param resumeBytes most bytes of text that are kept
     */
    AnswerIntake(StreamBuffer buffer, boolean keepText, int resumeBytes) {
        this.buffer = buffer;
        this.textKept = keepText;
        this.resumeBytes = resumeBytes;
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

    /** Returns the text that has arrived. */
    String text() {
        return text.toString(StandardCharsets.UTF_8);
    }

    private void keep(byte[] fresh) {
        if (!textKept) {
            return;
        }
        if (text.size() + fresh.length > resumeBytes) {
            textKept = false;
            text.reset();
        } else {
            text.writeBytes(fresh);
        }
    }
}
