package org.ragwortrun.router.internal.forward;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import java.util.function.DoubleSupplier;

/**
 * Decides whether a request may be retried at another endpoint.
 *
 * <p>If many endpoints fail together, unlimited retries would multiply the load. The retries to each origin in a
 * sliding window are limited to a share of its requests plus a fixed number, the slack. The slack is divided among the
 * routers or granted to each of them. Times are monotonic nanoseconds.
 */
public final class RetryAllowance {
    private final double ratio;
    private final DoubleSupplier slack;
    private final long windowNanos;
    private final Map<String, Window> origins = new HashMap<>();

    /**
     * Creates an allowance.
     *
     * @param ratio retries allowed per request
     * @param slack retries that this router may currently make per window in addition to the ratio
     * @param windowNanos length of the window
     */
    public RetryAllowance(double ratio, DoubleSupplier slack, long windowNanos) {
        this.ratio = ratio;
        this.slack = slack;
        this.windowNanos = windowNanos;
    }

    /** Records a request of a caller. */
    public void onRequest(String origin, long now) {
        window(origin, now).requests.add(now);
    }

    /** Takes one retry from the allowance. Returns whether one was left. */
    public boolean tryAcquire(String origin, long now) {
        Window w = window(origin, now);
        if (w.retries.size() + 1 > ratio * w.requests.size() + slack.getAsDouble()) {
            return false;
        }
        w.retries.add(now);
        return true;
    }

    private Window window(String origin, long now) {
        Window w = origins.computeIfAbsent(origin, o -> new Window());
        w.removeBefore(now - windowNanos);
        return w;
    }

    private static final class Window {
        private final Deque<Long> requests = new ArrayDeque<>();
        private final Deque<Long> retries = new ArrayDeque<>();

        void removeBefore(long before) {
            removeBefore(requests, before);
            removeBefore(retries, before);
        }

        private static void removeBefore(Deque<Long> times, long before) {
            while (!times.isEmpty() && times.peek() - before < 0) {
                times.remove();
            }
        }
    }
}
