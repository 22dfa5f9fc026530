package org.ragwortrun.agent.internal;

import java.io.IOException;
import java.net.SocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.ByteChannel;
import java.nio.channels.SelectionKey;
import java.util.concurrent.locks.Lock;
import org.apache.hc.core5.io.CloseMode;
import org.apache.hc.core5.reactor.Command;
import org.apache.hc.core5.reactor.IOEventHandler;
import org.apache.hc.core5.reactor.IOSession;
import org.apache.hc.core5.util.Timeout;
import org.jspecify.annotations.Nullable;

/**
 * Connection for one answer that reads nothing while reading is paused, whose idle timeout cannot be changed, and that fails
 * on an invalid status line.
 *
 * <p>The decoder of chunked answers reads from the connection while bytes arrive, even if the capacity window is used
 * up, so one fast engine could occupy the thread and fill the memory. The requester sets its connect timeout on each new
 * connection, which would end every stream whose engine is silent for that long.
 */
record PausableSession(IOSession session, Timeout idle, StatusLineCheck statusLines) implements IOSession {
    @Override
    public int read(ByteBuffer target) throws IOException {
        if ((session.getEventMask() & SelectionKey.OP_READ) == 0) {
            return 0;
        }
        int start = target.position();
        int read = session.read(target);
        statusLines.onRead(target, start);
        return read;
    }

    @Override
    public void setSocketTimeout(Timeout timeout) {
        // Keeps the idle timeout.
    }

    @Override
    public IOEventHandler getHandler() {
        return session.getHandler();
    }

    @Override
    public void upgrade(IOEventHandler handler) {
        session.upgrade(handler);
    }

    @Override
    public Lock getLock() {
        return session.getLock();
    }

    @Override
    public void enqueue(Command command, Command.Priority priority) {
        session.enqueue(command, priority);
    }

    @Override
    public boolean hasCommands() {
        return session.hasCommands();
    }

    @Override
    public @Nullable Command poll() {
        return session.poll();
    }

    @Override
    public ByteChannel channel() {
        return session.channel();
    }

    @Override
    public SocketAddress getRemoteAddress() {
        return session.getRemoteAddress();
    }

    @Override
    public SocketAddress getLocalAddress() {
        return session.getLocalAddress();
    }

    @Override
    public int getEventMask() {
        return session.getEventMask();
    }

    @Override
    public void setEventMask(int mask) {
        session.setEventMask(mask);
    }

    @Override
    public void setEvent(int event) {
        session.setEvent(event);
    }

    @Override
    public void clearEvent(int event) {
        session.clearEvent(event);
    }

    @Override
    public Status getStatus() {
        return session.getStatus();
    }

    @Override
    public Timeout getSocketTimeout() {
        return idle;
    }

    @Override
    public long getLastReadTime() {
        return session.getLastReadTime();
    }

    @Override
    public long getLastWriteTime() {
        return session.getLastWriteTime();
    }

    @Override
    public long getLastEventTime() {
        return session.getLastEventTime();
    }

    @Override
    public void updateReadTime() {
        session.updateReadTime();
    }

    @Override
    public void updateWriteTime() {
        session.updateWriteTime();
    }

    @Override
    public int write(ByteBuffer source) throws IOException {
        return session.write(source);
    }

    @Override
    public boolean isOpen() {
        return session.isOpen();
    }

    @Override
    public void close() {
        session.close();
    }

    @Override
    public void close(CloseMode mode) {
        session.close(mode);
    }

    @Override
    public String getId() {
        return session.getId();
    }

    @Override
    public String toString() {
        return session.toString();
    }
}
