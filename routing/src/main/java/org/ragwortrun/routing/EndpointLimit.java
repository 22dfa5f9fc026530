package org.ragwortrun.routing;

import java.util.Optional;
import org.jspecify.annotations.Nullable;

/**
 * The newest statement of one endpoint about its limit, as one router knows it, and the time until which the router has
 * been told to send no further request. Times are monotonic nanoseconds.
 */
public final class EndpointLimit {
    private @Nullable LimitStatement statement;
    private long blockedUntilNanos;

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

    /** Returns the earliest time at which a permit may be available, at least {@code now}. */
    public long earliestNanos(long now) {
        return isLimited() && blockedUntilNanos - now > 0 ? blockedUntilNanos : now;
    }
}
