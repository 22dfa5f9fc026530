package org.ragwortrun.agent.internal;

/**
 * Attempts that were started in this incarnation of the agent, including those whose answer is no longer kept.
 *
 * <p>The state "never seen" proves that a request did not run, so no attempt is removed within an incarnation.
 */
final class SeenRequests {
    // Attempt numbers are not negative, so this value can represent any attempt of a request.
    private static final int ANY_ATTEMPT = -1;

    private final HashSet128 attempts = new HashSet128();
    private final int limit;

    SeenRequests(int limit) {
        this.limit = limit;
    }

    /** Returns whether half of the limit is used; the agent then renews its incarnation when it is idle. */
    boolean isHalfFull() {
        return attempts.size() * 2L >= limit;
    }

    boolean isFull() {
        return attempts.size() >= limit;
    }

    void add(RequestKey key, int attempt) {
        attempts.add(key.hash(attempt));
        attempts.add(key.hash(ANY_ATTEMPT));
    }

    boolean contains(RequestKey key, int attempt) {
        return attempts.contains(key.hash(attempt));
    }

    boolean containsAny(RequestKey key) {
        return attempts.contains(key.hash(ANY_ATTEMPT));
    }

    int size() {
        return attempts.size();
    }

    /** Removes all attempts. Allowed only together with a new incarnation. */
    void clear() {
        attempts.clear();
    }
}
