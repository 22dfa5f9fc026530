package org.ragwortrun.routing;

import java.time.Duration;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.DoubleSupplier;

/**
 * Decides whether and when a failed attempt is retried.
 *
 * <p>Each route has a bucket of retries that its requests refill, so that retries stay a fixed fraction of the load
 * when every request fails. The backoff is exponential with full jitter and always ends before the deadline of the
 * request.
 */
public final class RetryPolicy {
    private static final double RETRIES_PER_REQUEST = 0.2;
    // Allows a route with little traffic to retry.
    private static final double BUCKET_SIZE = 20;
    private static final long INITIAL_BACKOFF_MS = 10;
    private static final long MAX_BACKOFF_MS = 1_000;
    private static final int MAX_ATTEMPTS = 6;
    private static final int MAX_SHIFT = 10;

    private final DoubleSupplier random;
    private final Map<String, Bucket> buckets = new ConcurrentHashMap<>();

    /**
     * Creates a policy.
     *
     * @param random returns a number from 0 to 1, exclusive; must be thread-safe
     */
    public RetryPolicy(DoubleSupplier random) {
        this.random = random;
    }

    /** Records the first attempt of a request, which refills the bucket of the route by a fraction of a retry. */
    public void onRequest(String route) {
        bucket(route).refill();
    }

    /**
     * Takes a retry from the route's bucket.
     *
     * @param attempts number of attempts so far
     * @param left time until the request's deadline
     * @return the delay before the next attempt, or empty if the request must not be retried
     */
    public Optional<Duration> nextDelay(String route, int attempts, Duration left) {
        if (attempts >= MAX_ATTEMPTS) {
            return Optional.empty();
        }
        long bound = Math.min(MAX_BACKOFF_MS, INITIAL_BACKOFF_MS << Math.min(MAX_SHIFT, Math.max(0, attempts - 1)));
        long delay = (long) (random.getAsDouble() * (bound + 1));
        if (delay >= left.toMillis() || !bucket(route).tryAcquire()) {
            return Optional.empty();
        }
        return Optional.of(Duration.ofMillis(delay));
    }

    private Bucket bucket(String route) {
        return buckets.computeIfAbsent(route, r -> new Bucket());
    }

    private static final class Bucket {
        private double retries = BUCKET_SIZE;

        synchronized void refill() {
            retries = Math.min(BUCKET_SIZE, retries + RETRIES_PER_REQUEST);
        }

        synchronized boolean tryAcquire() {
            if (retries < 1) {
                return false;
            }
            retries -= 1;
            return true;
        }
    }
}
