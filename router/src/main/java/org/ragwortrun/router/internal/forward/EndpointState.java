package org.ragwortrun.router.internal.forward;

import org.ragwortrun.proto.ListedEndpoint;
import org.ragwortrun.routing.EndpointNotices;

/** What this router knows about one endpoint. Used on the event loop only. */
final class EndpointState {
    private final EndpointHealth health = new EndpointHealth();
    private final PrefixMemory prefixes = new PrefixMemory();
    private final BrokenRequests broken = new BrokenRequests();
    private final EndpointConnections connections;
    private final EndpointNotices notices;
    private ListedEndpoint listed;
    private boolean listedNow = true;
    private boolean replaced;
    private int inFlight;
    private long pendingTokens;
    private long coldUntil;

    EndpointState(ListedEndpoint listed, EndpointConnections connections, EndpointNotices notices, long now) {
        this.listed = listed;
        this.connections = connections;
        this.notices = notices;
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

    PrefixMemory prefixes() {
        return prefixes;
    }

    EndpointNotices notices() {
        return notices;
    }

    BrokenRequests broken() {
        return broken;
    }

    EndpointConnections connections() {
        return connections;
    }

    void update(ListedEndpoint next, long now) {
        boolean leaving = next.getDraining() && !listed.getDraining();
        listed = next;
        listedNow = true;
        coldUntil = now + next.getColdMs() * 1_000_000L;
        if (leaving) {
            connections.closeIdle();
        }
    }

    /** Notes that the list names the endpoint no longer. Requests that it runs go on. */
    void remove() {
        listedNow = false;
        connections.closeIdle();
    }

    /** Notes that another endpoint has answered at this address. */
    void markReplaced() {
        replaced = true;
        connections.closeIdle();
    }

    /** Tells whether new requests may go to the endpoint, apart from its health. */
    boolean isOpen() {
        return listedNow && !replaced && !listed.getDraining() && !notices.isLeaving();
    }

    boolean isListed() {
        return listedNow;
    }

    boolean isCold(long now) {
        return coldUntil - now > 0;
    }

    int inFlight() {
        return inFlight;
    }

    long pendingTokens() {
        return pendingTokens;
    }

    void begin(int tokens) {
        inFlight++;
        pendingTokens += tokens;
    }

    /** Notes that the endpoint has begun to answer, so that it has read the prompt. */
    void answered(int tokens) {
        pendingTokens -= tokens;
    }

    void end() {
        inFlight--;
    }
}
