package org.ragwortrun.routing;

import java.time.Duration;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.DoubleSupplier;

/**
 * Decides whether and when an attempt is repeated.
 *
 * <p>Each route has a bucket of retries that fills with its requests, so that retries stay a fixed part of the load when
 * everything fails. The pause grows exponentially with full jitter and never passes the deadline of the request.
 */
public final class RetryPolicy {
    private static final double RETRIES_PER_REQUEST = 0.2;
    // Lets a route with little traffic retry at all.
    private static final double BUCKET_SIZE = 20;
    private static final long FIRST_PAUSE_MS = 10;
    private static final long MAX_PAUSE_MS = 1_000;
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

    /** Notes a first attempt, which earns the route a part of a retry. */
    public void onRequest(String route) {
        bucket(route).earn();
    }

    /**
     * Takes a retry from the route's bucket.
     *
     * @param attempts attempts so far
     * @param left time until the request's deadline
     * @return the pause before the next attempt, or nothing if the request must not be tried again
     */
    public Optional<Duration> next(String route, int attempts, Duration left) {
        if (attempts >= MAX_ATTEMPTS) {
            return Optional.empty();
        }
        long bound = Math.min(MAX_PAUSE_MS, FIRST_PAUSE_MS << Math.min(MAX_SHIFT, Math.max(0, attempts - 1)));
        long pause = (long) (random.getAsDouble() * (bound + 1));
        if (pause >= left.toMillis() || !bucket(route).take()) {
            return Optional.empty();
        }
        return Optional.of(Duration.ofMillis(pause));
    }

    private Bucket bucket(String route) {
        return buckets.computeIfAbsent(route, r -> new Bucket());
    }

    private static final class Bucket {
        private double retries = BUCKET_SIZE;

        synchronized void earn() {
            retries = Math.min(BUCKET_SIZE, retries + RETRIES_PER_REQUEST);
        }

        synchronized boolean take() {
            if (retries < 1) {
                return false;
            }
            retries -= 1;
            return true;
        }
    }
}
