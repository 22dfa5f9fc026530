package org.ragwortrun.agent.internal;

import org.ragwortrun.net.Peer;
import org.ragwortrun.proto.Chunk;
import org.ragwortrun.proto.Frame;

/** One reader of an answer: a call of a router, with its credit and position. */
final class AnswerSubscriber {
    private static final int MAX_CHUNK = 16 << 10;

    private final Peer peer;
    private final long call;
    private final RunningRequest request;
    private long credit;
    private long next;
    private boolean headSent;
    private boolean closed;

    AnswerSubscriber(Peer peer, long call, RunningRequest request, long offset, long credit) {
        this.peer = peer;
        this.call = call;
        this.request = request;
        this.next = offset;
        this.credit = credit;
    }

    Peer peer() {
        return peer;
    }

    long call() {
        return call;
    }

    RunningRequest request() {
        return request;
    }

    long next() {
        return next;
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

    /** Sends what credit and the connection's buffer allow. The rest waits for credit or for the next tick. */
    void pump() {
        if (closed || !peer.isOpen()) {
            closed = true;
            return;
        }
        while (next < request.answer().end() && credit > 0 && peer.isWritable()) {
            int count = sendable();
            if (count == 0) {
                return;
            }
            sendChunk(count);
        }
        if (!closed && request.isFinished() && next >= request.answer().end()) {
            if (!headSent && request.status() != 0) {
                sendChunk(0);
            }
            request.finishOutlet(this);
            closed = true;
        }
    }

    private int sendable() {
        AnswerBuffer answer = request.answer();
        int count = (int) Math.min(Math.min(credit, MAX_CHUNK), answer.end() - next);
        // Text is cut between characters, so that a router can forward each chunk as it is.
        while (count > 0 && request.isText() && !answer.isCharacterStart(next + count)) {
            count--;
        }
        return count;
    }

    private void sendChunk(int count) {
        Chunk.Builder chunk = Chunk.newBuilder()
                .setOffset(next)
                .setData(request.answer().slice(next, count))
                .setOutputTokens(request.tokensBefore(next + count));
        if (!headSent) {
            chunk.setStatus(request.status()).addAllHeaders(request.headers());
            headSent = true;
        }
        send(Frame.newBuilder().setChunk(chunk));
        next += count;
        credit -= count;
    }
}
