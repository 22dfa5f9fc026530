package org.ragwortrun.routing;

import java.util.concurrent.TimeUnit;

/**
 * Decides when an overloaded router asks to leave the rotation of the load balancer, and when it returns.
 *
 * <p>A lease counts from the moment of the question, so that it ends here no later than at the coordinator, and it ends
 * by the clock, so that a process that was suspended does not continue it. Without a reply the router stays in rotation.
 * Not thread-safe. Times are monotonic nanoseconds.
 */
public final class WithdrawalPolicy {
    private static final long SECOND_NANOS = TimeUnit.SECONDS.toNanos(1);
    private static final long OVERLOAD_NANOS = TimeUnit.MILLISECONDS.toNanos(500);
    // The balancer polls once a second and removes a host after two failures.
    private static final long MIN_OUT_NANOS = 4 * SECOND_NANOS;
    private static final long FIRST_LEASE_NANOS = 6 * SECOND_NANOS;
    // Earlier, a new connection of the same caller would reach this router again.
    private static final long BALANCER_DELAY_NANOS = 2_200_000_000L;
    private static final long PAUSE_NANOS = 4 * SECOND_NANOS;
    private static final long MIN_RETRY_NANOS = SECOND_NANOS / 2;
    private static final long MAX_RETRY_NANOS = 5 * SECOND_NANOS;
    // The reply waits for the full link too; a lease whose reply came later would be too short to be of use.
    private static final long REPLY_TIMEOUT_NANOS = 3 * SECOND_NANOS;
    // An overload that returns this soon was not over, so the next lease is longer.
    private static final long RELAPSE_NANOS = 10 * SECOND_NANOS;
    private static final double LOW_UTILIZATION = 0.60;

    private State state = State.IN_ROTATION;
    private boolean everWithdrawn;
    private long overloadedSinceNanos;
    private boolean overloaded;
    private long lowSinceNanos;
    private boolean low;
    private long askedNanos;
    private long mayAskNanos;
    private long returnedNanos;
    private long withdrawnNanos;
    private long leaseEndNanos;
    private long leaseNanos = FIRST_LEASE_NANOS;

    private enum State {
        IN_ROTATION,
        ASKING,
        WITHDRAWN
    }

    /** What the router does next. */
    public enum Action {
        /** Nothing changes. */
        NONE,
        /** Ask the coordinator for a lease. */
        ASK,
        /** Return a lease that has not ended. */
        RETURN,
        /** The lease has ended. */
        EXPIRED
    }

    public WithdrawalPolicy(long now) {
        mayAskNanos = now;
    }

    /**
     * Decides what to do now. Called at regular intervals.
     *
     * @param isOverloaded whether the router would be overloaded if it refused no requests
     */
    public Action update(boolean isOverloaded, HostUtilization u, long now) {
        overloadedSinceNanos = isOverloaded && overloaded ? overloadedSinceNanos : now;
        overloaded = isOverloaded;
        boolean isLow = u.highest() < LOW_UTILIZATION;
        lowSinceNanos = isLow && low ? lowSinceNanos : now;
        low = isLow;
        if (state == State.WITHDRAWN) {
            return updateWithdrawn(now);
        }
        if (state == State.ASKING && now - askedNanos >= REPLY_TIMEOUT_NANOS) {
            state = State.IN_ROTATION;
            mayAskNanos = now + MIN_RETRY_NANOS;
        }
        boolean lasting = overloaded && now - overloadedSinceNanos >= OVERLOAD_NANOS;
        if (state == State.IN_ROTATION && lasting && now - mayAskNanos >= 0) {
            boolean relapse = everWithdrawn && now - returnedNanos < RELAPSE_NANOS;
            leaseNanos = relapse ? WithdrawalCoordinator.MAX_LEASE_NANOS : FIRST_LEASE_NANOS;
            state = State.ASKING;
            askedNanos = now;
            return Action.ASK;
        }
        return Action.NONE;
    }

    /** Returns the time to ask for. */
    public long leaseNanos() {
        return leaseNanos;
    }

    /**
     * Handles the reply to a question. A reply to an earlier question is ignored.
     *
     * @param asked time of the question, which {@link #update} was given
     * @param nanos granted time, or the time after which to ask again
     */
    public void onReply(boolean granted, long nanos, long asked, long now) {
        if (state != State.ASKING || asked != askedNanos) {
            return;
        }
        long end = asked + Math.min(nanos, leaseNanos);
        if (granted && end - now >= MIN_OUT_NANOS) {
            state = State.WITHDRAWN;
            everWithdrawn = true;
            withdrawnNanos = now;
            leaseEndNanos = end;
        } else {
            state = State.IN_ROTATION;
            mayAskNanos = now + Math.min(MAX_RETRY_NANOS, Math.max(MIN_RETRY_NANOS, nanos));
        }
    }

    /** Returns whether the readiness check fails now. */
    public boolean isWithdrawn(long now) {
        return state == State.WITHDRAWN && leaseEndNanos - now > 0;
    }

    /** Returns whether answers close their connections, because callers' new connections reach other routers. */
    public boolean closesConnections(long now) {
        return isWithdrawn(now) && now - withdrawnNanos >= BALANCER_DELAY_NANOS;
    }

    private Action updateWithdrawn(long now) {
        if (!isWithdrawn(now)) {
            returnToRotation(now);
            return Action.EXPIRED;
        }
        boolean calm = low && now - lowSinceNanos >= leaseNanos / 2;
        if (calm && now - withdrawnNanos >= MIN_OUT_NANOS) {
            returnToRotation(now);
            return Action.RETURN;
        }
        return Action.NONE;
    }

    private void returnToRotation(long now) {
        state = State.IN_ROTATION;
        returnedNanos = now;
        mayAskNanos = now + PAUSE_NANOS;
        overloadedSinceNanos = now;
    }
}
