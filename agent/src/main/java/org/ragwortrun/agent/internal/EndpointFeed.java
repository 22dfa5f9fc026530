package org.ragwortrun.agent.internal;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Carries the events of one endpoint call from the reactor's thread to the request duty.
 *
 * <p>At most one task of a feed waits in the duty's ring, so the ring is bounded by the number of running requests.
 */
final class EndpointFeed implements EndpointListener {
    /** Bounds beyond which reading from the endpoint stops. */
    record Bounds(long stream, long total, AtomicLong totalUnsent) {}

    private final TaskRing duty;
    private final Runnable drain;
    private final Bounds bounds;
    private final ArrayDeque<EndpointEvent> events = new ArrayDeque<>();
    private long pendingBytes;
    private boolean scheduled;
    private volatile long unsent;

    /**
     * Creates a feed.
     *
     * @param duty queues a task and returns false if there is no room
     * @param drain takes the events, on the duty's thread
     */
    EndpointFeed(TaskRing duty, Runnable drain, Bounds bounds) {
        this.duty = duty;
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
    public boolean hasRoom() {
        long own;
        synchronized (this) {
            own = pendingBytes + unsent;
        }
        return own == 0 || own < bounds.stream() && bounds.totalUnsent().get() < bounds.total();
    }

    /** Queues the drain if events wait and none is queued. */
    void schedule() {
        synchronized (this) {
            if (!scheduled && !events.isEmpty()) {
                scheduled = duty.offer(drain);
            }
        }
    }

    /** Takes all waiting events. */
    List<EndpointEvent> take() {
        synchronized (this) {
            List<EndpointEvent> taken = new ArrayList<>(events);
            events.clear();
            pendingBytes = 0;
            scheduled = false;
            return taken;
        }
    }

    /** Notes how many bytes of the answer the slowest reader has not received. */
    void unsent(long bytes) {
        bounds.totalUnsent().addAndGet(bytes - unsent);
        unsent = bytes;
    }
}
