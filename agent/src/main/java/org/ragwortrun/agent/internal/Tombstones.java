package org.ragwortrun.agent.internal;

/**
 * Attempts that were given up before they arrived.
 *
 * <p>None is ever forgotten within an incarnation of the agent, because a dispatch may be late by any time. When the
 * set is full the agent takes a new incarnation; dispatches to the old one are refused from then on.
 */
final class Tombstones {
    private final HashSet128 attempts = new HashSet128();
    private final int limit;

    Tombstones(int limit) {
        this.limit = limit;
    }

    /** Returns whether half of the room is used, so that a new incarnation is taken when nothing runs. */
    boolean isFilling() {
        return attempts.size() * 2L >= limit;
    }

    boolean isNearlyFull() {
        return attempts.size() * 10L >= limit * 9L;
    }

    boolean isFull() {
        return attempts.size() >= limit;
    }

    void add(RequestKey key, int attempt) {
        if (isFull() && !contains(key, attempt)) {
            throw new IllegalStateException("no tombstone may be added to a full set");
        }
        attempts.add(key.hash(attempt));
    }

    boolean contains(RequestKey key, int attempt) {
        return attempts.contains(key.hash(attempt));
    }

    int size() {
        return attempts.size();
    }

    /** Forgets all; allowed only together with a new incarnation. */
    void clear() {
        attempts.clear();
    }
}
