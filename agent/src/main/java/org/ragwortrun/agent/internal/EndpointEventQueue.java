package org.ragwortrun.agent.internal;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Queue that passes the events of one endpoint call from the reactor thread to the request thread.
 *
 * <p>At most one task per call waits in the task queue of the request thread, so the number of running requests limits
 * its length.
 */
final class EndpointEventQueue implements EndpointListener {
    /** Limits on unsent bytes, per answer and in total, at which reading from the endpoint stops. */
    record Bounds(long stream, long total, AtomicLong totalUnsent) {}

    private final TaskQueue executor;
    private final Runnable drain;
    private final Bounds bounds;
    private final ArrayDeque<EndpointEvent> events = new ArrayDeque<>();
    private long pendingBytes;
    private boolean scheduled;
    private volatile long unsent;

    /**
     * Creates an event queue.
     *
     * @param executor queues tasks of the request thread
     * @param drain processes the events, on the request thread
     */
    EndpointEventQueue(TaskQueue executor, Runnable drain, Bounds bounds) {
        this.executor = executor;
        this.drain = drain;
        this.bounds = bounds;
    }

    @Override
    public void onEvent(EndpointEvent event) {
        synchronized (this) {
            events.add(event);
            if (event instanceof EndpointEvent.Output o) {
                pendingBytes += o.data().length;
            }
        }
        schedule();
    }

    @Override
    public void onPaused() {
        synchronized (this) {
            if (!scheduled) {
                // If the task queue is full, the next tick resumes reading.
                scheduled = executor.offer(drain);
            }
        }
    }

    /** Returns whether more of the answer may be read. */
    boolean hasRoom() {
        long own;
        synchronized (this) {
            own = pendingBytes + unsent;
        }
        return own == 0 || own < bounds.stream() && bounds.totalUnsent().get() < bounds.total();
    }

    /** Queues the drain task if there are events and the task is not queued yet. */
    void schedule() {
        synchronized (this) {
            if (!scheduled && !events.isEmpty()) {
                scheduled = executor.offer(drain);
            }
        }
    }

    /** Removes and returns all events. */
    List<EndpointEvent> takeAll() {
        synchronized (this) {
            List<EndpointEvent> taken = new ArrayList<>(events);
            events.clear();
            pendingBytes = 0;
            scheduled = false;
            return taken;
        }
    }

    /** Sets how many bytes of the answer have not been sent to the slowest subscriber. */
    void setUnsent(long bytes) {
        bounds.totalUnsent().addAndGet(bytes - unsent);
        unsent = bytes;
    }
}
