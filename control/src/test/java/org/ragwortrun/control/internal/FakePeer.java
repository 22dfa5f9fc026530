package org.ragwortrun.control.internal;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;
import org.ragwortrun.net.FrameListener;
import org.ragwortrun.net.OpenCall;
import org.ragwortrun.net.Peer;
import org.ragwortrun.proto.Frame;
import org.ragwortrun.proto.Hello;
import org.ragwortrun.proto.Role;

/** A connection that queues the sent frames for tests. */
final class FakePeer implements Peer {
    private final Hello hello;
    private final BlockingQueue<Frame> sent = new LinkedBlockingQueue<>();
    volatile boolean open = true;
    volatile boolean writable = true;

    FakePeer(String name, Role role) {
        hello = Hello.newBuilder()
                .setName(name)
                .setIncarnation(name + "@1")
                .setRole(role)
                .build();
    }

    /** Returns the next matching frame and discards those before it. */
    Frame await(Predicate<Frame> wanted) throws InterruptedException {
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(5);
        while (true) {
            Frame f = sent.poll(Math.max(0, end - System.nanoTime()), TimeUnit.NANOSECONDS);
            assertThat(f).isNotNull();
            if (wanted.test(f)) {
                return f;
            }
        }
    }

    /** Waits briefly and returns whether no matching frame has been sent. */
    boolean receivesNone(Predicate<Frame> unwanted) throws InterruptedException {
        TimeUnit.MILLISECONDS.sleep(200);
        return sent.stream().noneMatch(unwanted);
    }

    @Override
    public Hello hello() {
        return hello;
    }

    @Override
    public boolean send(Frame frame) {
        return open && sent.add(frame);
    }

    @Override
    public CompletableFuture<Frame> call(Frame.Builder request, Duration timeout) {
        throw new UnsupportedOperationException("the control daemon does not call other daemons");
    }

    @Override
    public OpenCall open(Frame.Builder request, FrameListener listener) {
        throw new UnsupportedOperationException("the control daemon does not call other daemons");
    }

    @Override
    public boolean isWritable() {
        return open && writable;
    }

    @Override
    public long nanosSinceLastFrame() {
        return 0;
    }

    @Override
    public boolean isOpen() {
        return open;
    }

    @Override
    public void close() {
        open = false;
    }
}
