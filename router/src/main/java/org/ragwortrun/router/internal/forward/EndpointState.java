package org.ragwortrun.router.internal.forward;

import java.util.LinkedHashMap;
import java.util.Map;
import org.ragwortrun.proto.ListedEndpoint;
import org.ragwortrun.routing.EndpointLimit;
import org.ragwortrun.routing.EndpointNotices;
import org.ragwortrun.routing.EndpointPerformance;
import org.ragwortrun.routing.EndpointWindow;

/** State of one endpoint as this router knows it. Used on the event loop only. */
final class EndpointState {
    private final EndpointHealth health = new EndpointHealth();
    private final PrefixCacheEstimate prefixCache = new PrefixCacheEstimate();
    private final EndpointPerformance performance;
    private final InterruptedRequests interruptedRequests = new InterruptedRequests();
    private final EndpointWindow window = new EndpointWindow();
    private final EndpointConnectionPool connections;
    private final EndpointNotices notices;
    private final EndpointLimit limit;
    private final EndpointOutcomes outcomes;
    private ListedEndpoint listed;
    private boolean listedNow = true;
    private boolean replaced;
    // In the order in which they were sent.
    private final Map<Object, Long> unansweredSince = new LinkedHashMap<>();
    private int inFlight;
    private long pendingTokens;
    private long coldUntilNanos;

    EndpointState(
            ListedEndpoint listed,
            EndpointConnectionPool connections,
            EndpointNotices notices,
            EndpointLimit limit,
            Runnable rampReporter,
            long now) {
        this.listed = listed;
        this.connections = connections;
        this.notices = notices;
        this.limit = limit;
        performance = new EndpointPerformance(now);
        outcomes = new EndpointOutcomes(health, limit.ramp(), rampReporter);
        update(listed, now);
    }

    String id() {
        return listed.getId();
    }

    ListedEndpoint listed() {
        return listed;
    }

    EndpointHealth health() {
        return health;
    }

    EndpointOutcomes outcomes() {
        return outcomes;
    }

    /** Returns whether a request may be sent to the endpoint for its health. A ramp replaces the exclusion. */
    boolean isUsable(long now) {
        return limit.ramp().isFollowing() || health.isUsable(now);
    }

    PrefixCacheEstimate prefixCache() {
        return prefixCache;
    }

    EndpointPerformance performance() {
        return performance;
    }

    EndpointNotices notices() {
        return notices;
    }

    EndpointLimit limit() {
        return limit;
    }

    EndpointWindow window() {
        return window;
    }

    InterruptedRequests interruptedRequests() {
        return interruptedRequests;
    }

    EndpointConnectionPool connections() {
        return connections;
    }

    void update(ListedEndpoint next, long now) {
        boolean leaving = next.getDraining() && !listed.getDraining();
        listed = next;
        listedNow = true;
        coldUntilNanos = now + next.getColdMs() * 1_000_000L;
        if (leaving) {
            connections.closeIdle();
        }
    }

    /** Records that the endpoint is no longer listed. Requests that it runs continue. */
    void markUnlisted() {
        listedNow = false;
        connections.closeIdle();
    }

    /** Records that another endpoint has answered at this address. */
    void markReplaced() {
        replaced = true;
        connections.closeIdle();
    }

    /** Returns whether new requests may be sent to the endpoint, regardless of its health. */
    boolean isEligible() {
        return listedNow && !replaced && !listed.getDraining() && !notices.isLeaving();
    }

    boolean isListed() {
        return listedNow;
    }

    boolean isCold(long now) {
        return coldUntilNanos - now > 0 || limit.ramp().isCold(now);
    }

    /** Records that a list was read that contains the endpoint as it is known. */
    void onListRead(long readNanos, long now) {
        limit.ramp().warmUp().onListed(listed.getColdMs(), readNanos, now);
    }

    int inFlight() {
        return inFlight;
    }

    long pendingTokens() {
        return pendingTokens;
    }

    /** Records that a request was sent. Its answer has not begun. */
    void onRequestSent(Object attempt, long now) {
        unansweredSince.put(attempt, now);
    }

    /** Records that the answer to a request has begun, or that the request has ended. */
    void onAnswerBegun(Object attempt) {
        unansweredSince.remove(attempt);
    }

    /** Returns for how long the endpoint has not begun to answer the oldest request of this router, in nanoseconds. */
    long longestWaitNanos(long now) {
        return unansweredSince.isEmpty()
                ? 0
                : now - unansweredSince.values().iterator().next();
    }

    void onRequestStarted(int tokens) {
        inFlight++;
        pendingTokens += tokens;
    }

    /** Records that the endpoint has read the prompt, because it has begun to answer or the attempt has ended. */
    void onPromptRead(int tokens) {
        pendingTokens -= tokens;
    }

    void onRequestEnded() {
        inFlight--;
    }
}
