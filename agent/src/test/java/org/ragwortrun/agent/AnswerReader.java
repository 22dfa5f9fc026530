package org.ragwortrun.agent;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.ragwortrun.net.FrameListener;
import org.ragwortrun.net.OpenCall;
import org.ragwortrun.net.TransportException;
import org.ragwortrun.proto.Accepted;
import org.ragwortrun.proto.Cancel;
import org.ragwortrun.proto.Chunk;
import org.ragwortrun.proto.Credit;
import org.ragwortrun.proto.Finished;
import org.ragwortrun.proto.Frame;
import org.ragwortrun.proto.Refused;

/** Reads one answer as a router does. */
final class AnswerReader implements FrameListener {
    private static final int WAIT_SECONDS = 10;

    private final CompletableFuture<Accepted> accepted = new CompletableFuture<>();
    private final CompletableFuture<Frame> end = new CompletableFuture<>();
    private final CompletableFuture<OpenCall> call = new CompletableFuture<>();
    private final ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    private final boolean renewsCredit;
    private long nextOffset = -1;
    private int status;

    /**
     * Creates a reader.
     *
     * @param renewsCredit whether received bytes are credited again
     */
    AnswerReader(boolean renewsCredit) {
        this.renewsCredit = renewsCredit;
    }

    AnswerReader opened(OpenCall open) {
        call.complete(open);
        return this;
    }

    @Override
    public void onFrame(Frame frame) {
        switch (frame.getBodyCase()) {
            case ACCEPTED -> accepted.complete(frame.getAccepted());
            case CHUNK -> onChunk(frame.getChunk());
            default -> {
                accepted.completeExceptionally(new AssertionError("ended with " + frame));
                end.complete(frame);
            }
        }
    }

    @Override
    public void onLost(TransportException cause) {
        accepted.completeExceptionally(cause);
        end.completeExceptionally(cause);
    }

    private synchronized void onChunk(Chunk chunk) {
        if (nextOffset >= 0 && chunk.getOffset() != nextOffset) {
            end.completeExceptionally(new AssertionError("gap before " + chunk.getOffset()));
        }
        nextOffset = chunk.getOffset() + chunk.getData().size();
        status = chunk.getStatus() == 0 ? status : chunk.getStatus();
        bytes.writeBytes(chunk.getData().toByteArray());
        if (renewsCredit) {
            call.thenAccept(c -> c.send(Frame.newBuilder()
                    .setCredit(Credit.newBuilder().setBytes(chunk.getData().size()))));
        }
    }

    synchronized String text() {
        return bytes.toString(StandardCharsets.UTF_8);
    }

    synchronized int length() {
        return bytes.size();
    }

    synchronized int status() {
        return status;
    }

    Accepted accepted() throws Exception {
        return accepted.get(WAIT_SECONDS, TimeUnit.SECONDS);
    }

    Finished finished() throws Exception {
        Frame frame = end.get(WAIT_SECONDS, TimeUnit.SECONDS);
        if (!frame.hasFinished()) {
            throw new AssertionError("ended with " + frame);
        }
        return frame.getFinished();
    }

    /** Waits for the end of the answer and returns whether it is a refusal. */
    boolean isRefused() throws Exception {
        return end.get(WAIT_SECONDS, TimeUnit.SECONDS).hasRefused();
    }

    Refused refused() throws Exception {
        Frame frame = end.get(WAIT_SECONDS, TimeUnit.SECONDS);
        if (!frame.hasRefused()) {
            throw new AssertionError("ended with " + frame);
        }
        return frame.getRefused();
    }

    boolean isEnded() {
        return end.isDone();
    }

    void credit(int count) throws Exception {
        call.get(WAIT_SECONDS, TimeUnit.SECONDS)
                .send(Frame.newBuilder().setCredit(Credit.newBuilder().setBytes(count)));
    }

    void cancel(String reason) throws Exception {
        call.get(WAIT_SECONDS, TimeUnit.SECONDS)
                .send(Frame.newBuilder().setCancel(Cancel.newBuilder().setReason(reason)));
    }
}
