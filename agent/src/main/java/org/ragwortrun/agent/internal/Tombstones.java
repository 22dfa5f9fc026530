package org.ragwortrun.agent.internal;

/**
 * Attempts that a router gave up before they arrived.
 *
 * <p>No tombstone is removed within an incarnation of the agent, because a dispatch may be delayed for any length of
 * time. When the set is full, the agent starts a new incarnation and refuses all dispatches to the old one.
 */
final class Tombstones {
    private final HashSet128 attempts = new HashSet128();
    private final int limit;

    Tombstones(int limit) {
        this.limit = limit;
    }

    /** Returns whether half of the limit is used; the agent then renews its incarnation when it is idle. */
    boolean isHalfFull() {
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
            throw new IllegalStateException("the tombstone set is full");
        }
        attempts.add(key.hash(attempt));
    }

    boolean contains(RequestKey key, int attempt) {
        return attempts.contains(key.hash(attempt));
    }

    int size() {
        return attempts.size();
    }

    /** Removes all tombstones. Allowed only together with a new incarnation. */
    void clear() {
        attempts.clear();
    }
}
