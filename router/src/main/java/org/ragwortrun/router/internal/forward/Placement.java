package org.ragwortrun.router.internal.forward;

import java.util.Collection;
import java.util.List;
import java.util.Optional;
import org.apache.commons.codec.digest.MurmurHash3;
import org.jspecify.annotations.Nullable;

/**
 * Chooses the endpoint with the least estimated time to answer a request.
 *
 * <p>Prompts may share long parts, which an engine reads once and then finds in its cache, but bursts may overload the
 * endpoint that has a part cached. The cost of an endpoint is the time in milliseconds until it would answer: for
 * prompts that it still has to read, for the part of this prompt that it has not cached, and for its running requests.
 * Routers do not exchange what they send. Instead, they choose the same preferred endpoint for each part by rendezvous
 * hashing, so that a part is read at few endpoints, and use another endpoint when the preferred one is busy.
 */
public final class Placement {
    // Prompt tokens that an engine reads in a millisecond, between the values of the two deployments.
    private static final double PREFILL_TOKENS_PER_MS = 44;
    // Time by which each running request delays the first token, as its share of an engine step of 5 ms.
    private static final double RUNNING_REQUEST_MS = 0.6;
    // A request beyond the slots waits for another to end.
    private static final double FULL_PENALTY_MS = 400;
    // Duration of a request to a service without a model, where only the order of the costs matters.
    private static final double PLAIN_REQUEST_MS = 60;
    // Prefers endpoints in the same data center at equal cost, because traffic between data centers is charged.
    private static final double OTHER_DATA_CENTER_PENALTY_MS = 1.5;
    private static final double COLD_PENALTY_MS = 150;

    private Placement() {}

    /** Returns the endpoint with the least cost, or nothing if there is no candidate. */
    public static Optional<Candidate> choose(Collection<Candidate> candidates, List<PromptPart> parts, boolean model) {
        int tokens = 0;
        for (PromptPart p : parts) {
            tokens += p.tokens();
        }
        // The last part is specific to the request or its session; the parts before it are shared.
        int shared = parts.isEmpty() ? 0 : tokens - parts.get(parts.size() - 1).tokens();
        int part = parts.isEmpty()
                ? 0
                : parts.get(Math.max(0, parts.size() - 2)).id().hashCode();
        Candidate preferred = model && shared > 0 ? preferredEndpoint(candidates, part) : null;
        Candidate best = null;
        double least = Double.POSITIVE_INFINITY;
        for (Candidate c : candidates) {
            int cached = c.equals(preferred) ? Math.max(shared, c.cachedTokens()) : c.cachedTokens();
            double cost = cost(c, tokens, cached, model);
            // At equal cost, all routers choose the endpoint that ranks first for the part.
            if (best == null || cost < least || cost == least && ranksBefore(c, best, part)) {
                best = c;
                least = cost;
            }
        }
        return Optional.ofNullable(best);
    }

    /** Returns the cost of an endpoint for a request whose shared parts it does not prefer. */
    static double cost(Candidate c, Collection<PromptPart> parts, boolean model) {
        return cost(c, parts.stream().mapToInt(PromptPart::tokens).sum(), c.cachedTokens(), model);
    }

    private static double cost(Candidate c, int tokens, int cached, boolean model) {
        int running = Math.max(c.inFlight(), c.reported());
        double cost = c.sameDataCenter() ? 0 : OTHER_DATA_CENTER_PENALTY_MS;
        cost += c.cold() ? COLD_PENALTY_MS : 0;
        cost += running >= c.slots() && c.slots() > 0 ? FULL_PENALTY_MS * (1 + running - c.slots()) / c.slots() : 0;
        if (!model) {
            return cost + PLAIN_REQUEST_MS * running / Math.max(1, c.slots());
        }
        return cost
                + (c.pendingTokens() + tokens - Math.min(tokens, cached)) / PREFILL_TOKENS_PER_MS
                + running * RUNNING_REQUEST_MS;
    }

    /**
     * Returns the endpoint that ranks first for the last shared part. When endpoints change, few parts get another one.
     */
    private static @Nullable Candidate preferredEndpoint(Collection<Candidate> candidates, int part) {
        Candidate preferred = null;
        for (Candidate c : candidates) {
            if (preferred == null || ranksBefore(c, preferred, part)) {
                preferred = c;
            }
        }
        return preferred;
    }

    private static boolean ranksBefore(Candidate c, Candidate other, int part) {
        int order = Integer.compare(rank(c, part), rank(other, part));
        return order > 0 || order == 0 && c.id().compareTo(other.id()) < 0;
    }

    private static int rank(Candidate c, int part) {
        return MurmurHash3.hash32(part, c.id().hashCode());
    }

    /**
     * State of an endpoint that determines its cost for a request.
     *
     * @param id id of the endpoint
     * @param inFlight requests of this router that have not ended
     * @param reported running and queued requests in its last report, 0 if there is none
     * @param slots requests that it can run at a time, 0 if unknown
     * @param pendingTokens prompt tokens of this router's requests that it has not begun to answer
     * @param cachedTokens tokens at the start of this prompt that it probably has cached
     * @param sameDataCenter whether it is in the data center of this router
     * @param cold whether it has started recently and is still slow
     */
    public record Candidate(
            String id,
            int inFlight,
            int reported,
            int slots,
            long pendingTokens,
            int cachedTokens,
            boolean sameDataCenter,
            boolean cold) {}
}
