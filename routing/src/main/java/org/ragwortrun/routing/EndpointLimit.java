package org.ragwortrun.routing;

import java.util.Optional;
import org.jspecify.annotations.Nullable;

/**
 * The newest statement of one endpoint about its limit and the endpoint's ramp, as one router knows them, and the time
 * until which the router has been told to send no further request. Times are monotonic nanoseconds.
 */
public final class EndpointLimit {
    private final RampView ramp;
    private @Nullable LimitStatement statement;
    private long blockedUntilNanos;

    /** Creates the limit of an endpoint that follows no ramp unless the endpoint is cold. */
    public EndpointLimit() {
        this(false);
    }

    /**
     * Creates the limit of an endpoint.
     *
     * @param followsRamps whether this router follows the ramps of endpoints that are not cold
     */
    public EndpointLimit(boolean followsRamps) {
        ramp = new RampView(followsRamps);
    }

    /** Records a statement. Returns whether it changes the limit. */
    public boolean record(LimitStatement next) {
        LimitStatement before = statement;
        if (before != null && !next.supersedes(before)) {
            return false;
        }
        statement = next;
        boolean changes = before == null ? next.isLimited() : next.perSecond() != before.perSecond();
        if (changes) {
            blockedUntilNanos = next.receivedNanos();
        }
        return changes;
    }

    /** Records that no permit is available before a time. */
    public void block(long untilNanos) {
        blockedUntilNanos = untilNanos;
    }

    /** Returns the newest statement, if the endpoint has made one. */
    public Optional<LimitStatement> newest() {
        return Optional.ofNullable(statement);
    }

    /** Returns the limit that is in force, if the endpoint has named one. */
    public Optional<LimitStatement> limit() {
        return newest().filter(LimitStatement::isLimited);
    }

    /** Returns the requests per second that the endpoint accepts, infinite if it has named no limit. */
    public double perSecond() {
        return newest().map(LimitStatement::perSecond).orElse(Double.POSITIVE_INFINITY);
    }

    public boolean isLimited() {
        return Double.isFinite(perSecond());
    }

    /** Returns what this router knows about the endpoint's ramp. */
    public RampView ramp() {
        return ramp;
    }

    /** Returns whether a request to the endpoint needs a permit. */
    public boolean needsPermit(long now) {
        return isLimited() || ramp.needsPermit(now);
    }

    /** Returns whether a request without a permit may be sent if no other endpoint can serve it. */
    public boolean allowsLastResort(long now) {
        return !isLimited() && !ramp.isCold(now);
    }

    /**
     * Returns whether a request for which an attempt has begun may be sent now. One to a cold endpoint must hold a permit
     * that is not too old, because the endpoint may have become cold since, or a connection was opened slowly.
     *
     * @param permitted whether the request was permitted when the attempt began
     */
    public boolean maySend(boolean permitted, long begunNanos, long now) {
        return !ramp.isCold(now) || permitted && now - begunNanos <= ColdShares.MAX_CONNECT_NANOS;
    }

    /** Returns the earliest time at which a permit may be available, at least {@code now}. */
    public long earliestNanos(long now) {
        return needsPermit(now) && blockedUntilNanos - now > 0 ? blockedUntilNanos : now;
    }
}
