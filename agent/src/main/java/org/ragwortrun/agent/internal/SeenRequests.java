package org.ragwortrun.agent.internal;

/**
 * Attempts that this incarnation of the agent accepted, including those whose answer is no longer kept.
 *
 * <p>"Never seen" is proof that a request did not run, so none is forgotten within an incarnation.
 */
final class SeenRequests {
    // Attempts are not negative, so this stands for "any attempt of this request".
    private static final int ANY = -1;

    private final HashSet128 accepted = new HashSet128();
    private final int limit;

    SeenRequests(int limit) {
        this.limit = limit;
    }

    /** Returns whether half of the room is used, so that a new incarnation is taken when nothing runs. */
    boolean isFilling() {
        return accepted.size() * 2L >= limit;
    }

    boolean isFull() {
        return accepted.size() >= limit;
    }

    void add(RequestKey key, int attempt) {
        accepted.add(key.hash(attempt));
        accepted.add(key.hash(ANY));
    }

    boolean contains(RequestKey key, int attempt) {
        return accepted.contains(key.hash(attempt));
    }

    boolean containsAny(RequestKey key) {
        return accepted.contains(key.hash(ANY));
    }

    int size() {
        return accepted.size();
    }

    /** Forgets all; allowed only together with a new incarnation. */
    void clear() {
        accepted.clear();
    }
}
