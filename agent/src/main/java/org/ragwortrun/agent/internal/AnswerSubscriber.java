package org.ragwortrun.agent.internal;

import org.ragwortrun.net.Peer;
import org.ragwortrun.proto.Chunk;
import org.ragwortrun.proto.Frame;

/** A call of a router that receives an answer, with its flow-control credit and position. */
final class AnswerSubscriber {
    private static final int MAX_CHUNK_BYTES = 16 << 10;

    private final Peer peer;
    private final long call;
    private final AcceptedRequest request;
    private long credit;
    private long nextOffset;
    private boolean headSent;
    private boolean closed;

    AnswerSubscriber(Peer peer, long call, AcceptedRequest request, long offset, long credit) {
        this.peer = peer;
        this.call = call;
        this.request = request;
        this.nextOffset = offset;
        this.credit = credit;
    }

    Peer peer() {
        return peer;
    }

    long call() {
        return call;
    }

    AcceptedRequest request() {
        return request;
    }

    long nextOffset() {
        return nextOffset;
    }

    boolean isClosed() {
        return closed;
    }

    void close() {
        closed = true;
    }

    void addCredit(long bytes) {
        credit += bytes;
    }

    boolean send(Frame.Builder frame) {
        return peer.send(frame.setCall(call).build());
    }

    /** Sends as much as the credit and the connection's buffer allow. The rest is sent on new credit or the next tick. */
    void pump() {
        if (closed || !peer.isOpen()) {
            closed = true;
            return;
        }
        while (nextOffset < request.answer().endOffset() && credit > 0 && peer.isWritable()) {
            int count = sendable();
            if (count == 0) {
                return;
            }
            sendChunk(count);
        }
        if (!closed && request.isFinished() && nextOffset >= request.answer().endOffset()) {
            if (!headSent && request.status() != 0) {
                sendChunk(0);
            }
            request.sendFinished(this);
            closed = true;
        }
    }

    private int sendable() {
        AnswerBuffer answer = request.answer();
        int count = (int) Math.min(Math.min(credit, MAX_CHUNK_BYTES), answer.endOffset() - nextOffset);
        // Text is split only between characters, so that a router can forward each chunk unchanged.
        while (count > 0 && request.isText() && !answer.isCharacterStart(nextOffset + count)) {
            count--;
        }
        return count;
    }

    private void sendChunk(int count) {
        Chunk.Builder chunk = Chunk.newBuilder()
                .setOffset(nextOffset)
                .setData(request.answer().slice(nextOffset, count))
                .setOutputTokens(request.tokensBefore(nextOffset + count));
        if (!headSent) {
            chunk.setStatus(request.status()).addAllHeaders(request.headers());
            headSent = true;
        }
        send(Frame.newBuilder().setChunk(chunk));
        nextOffset += count;
        credit -= count;
    }
}
