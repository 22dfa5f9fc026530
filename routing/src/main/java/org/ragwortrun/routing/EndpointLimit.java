package org.ragwortrun.routing;

/** The newest statement of one endpoint about its limit, as one router knows it. Times are monotonic nanoseconds. */
public final class EndpointLimit {
    private LimitStatement statement;

    /** Creates the state of an endpoint that has named no limit. */
    public EndpointLimit(long now) {
        statement = LimitStatement.unlimited(now, now);
    }

    /** Records a statement. Returns whether it changes the limit. */
    public boolean record(LimitStatement next) {
        if (!next.supersedes(statement)) {
            return false;
        }
        boolean changes = next.perSecond() != statement.perSecond();
        statement = next;
        return changes;
    }

    /** Returns the newest statement. */
    public LimitStatement statement() {
        return statement;
    }

    /** Returns whether the endpoint has named a limit that is still in force. */
    public boolean isLimited() {
        return statement.isLimited();
    }
}
