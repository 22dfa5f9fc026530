package org.ragwortrun.router.internal.forward;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import java.util.function.DoubleSupplier;

/**
 * Decides whether a request may go to a second endpoint.
 *
 * <p>The load it answers: endpoints that fail together, where repeats would multiply the load. Each origin's repeats in
 * a window stay below a share of its requests plus a fixed part. The fixed part is divided among the routers that there
 * are, or given to each. Times are monotonic nanoseconds.
 */
public final class RetryAllowance {
    private final double ratio;
    private final DoubleSupplier slack;
    private final long windowNanos;
    private final Map<String, Window> origins = new HashMap<>();

    /**
     * Creates an allowance.
     *
     * @param ratio repeats for each request
     * @param slack repeats in a window without any request that this router may take now
     * @param windowNanos length of the window
     */
    public RetryAllowance(double ratio, DoubleSupplier slack, long windowNanos) {
        this.ratio = ratio;
        this.slack = slack;
        this.windowNanos = windowNanos;
    }

    /** Notes a request of a caller. */
    public void onRequest(String origin, long now) {
        window(origin, now).requests.add(now);
    }

    /** Takes a repeat out of the allowance, if there is one left. */
    public boolean take(String origin, long now) {
        Window w = window(origin, now);
        if (w.repeats.size() + 1 > ratio * w.requests.size() + slack.getAsDouble()) {
            return false;
        }
        w.repeats.add(now);
        return true;
    }

    private Window window(String origin, long now) {
        Window w = origins.computeIfAbsent(origin, o -> new Window());
        w.forget(now - windowNanos);
        return w;
    }

    private static final class Window {
        private final Deque<Long> requests = new ArrayDeque<>();
        private final Deque<Long> repeats = new ArrayDeque<>();

        void forget(long before) {
            forget(requests, before);
            forget(repeats, before);
        }

        private static void forget(Deque<Long> times, long before) {
            while (!times.isEmpty() && times.peek() - before < 0) {
                times.remove();
            }
        }
    }
}
