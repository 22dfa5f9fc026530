package org.ragwortrun.router.internal.forward;

import java.util.Collection;
import java.util.List;
import java.util.Optional;
import org.apache.commons.codec.digest.MurmurHash3;
import org.jspecify.annotations.Nullable;

/**
 * Chooses the endpoint of a request.
 *
 * <p>The load it answers: prompts that share long parts, which an engine reads once and then finds in its cache, beside
 * bursts that fill the endpoint which has a part cached. The cost of an endpoint is the time in milliseconds until it
 * would answer: prompts that it still has to read, the part of this prompt that it has not cached, and its running
 * requests. Routers do not tell each other what they send. They agree on a home for each part by a hash, so that a part
 * is read at few endpoints, and leave the home when it is busy.
 */
public final class Placement {
    // Prompt tokens that an engine reads in a millisecond, between the figures of the two deployments.
    private static final double PREFILL_TOKENS_PER_MS = 44;
    // Time by which one more running request delays the first token, seen as the share of one step of 5 ms.
    private static final double RUNNING_MS = 0.6;
    // A request beyond the slots waits for another to end.
    private static final double FULL_MS = 400;
    // Work of a request to a plain service, used where only the order of endpoints counts.
    private static final double PLAIN_MS = 60;
    // Prefers the own data center among endpoints that are otherwise alike, because bytes between them are paid for.
    private static final double OTHER_DATA_CENTER_MS = 1.5;
    private static final double COLD_MS = 150;

    private Placement() {}

    /** Returns the endpoint with the least cost, or nothing if there is no candidate. */
    public static Optional<Candidate> choose(Collection<Candidate> candidates, List<PromptPart> parts, boolean model) {
        int tokens = 0;
        for (PromptPart p : parts) {
            tokens += p.tokens();
        }
        // The last part belongs to the request or its session; those before it are shared.
        int shared = parts.isEmpty() ? 0 : tokens - parts.get(parts.size() - 1).tokens();
        int part = parts.isEmpty()
                ? 0
                : parts.get(Math.max(0, parts.size() - 2)).id().hashCode();
        Candidate home = model && shared > 0 ? home(candidates, part) : null;
        Candidate best = null;
        double least = Double.POSITIVE_INFINITY;
        for (Candidate c : candidates) {
            int cached = c.equals(home) ? Math.max(shared, c.cachedTokens()) : c.cachedTokens();
            double cost = cost(c, tokens, cached, model);
            // Of endpoints that cost the same, all routers take the one that ranks first for the part.
            if (best == null || cost < least || cost == least && ranksBefore(c, best, part)) {
                best = c;
                least = cost;
            }
        }
        return Optional.ofNullable(best);
    }

    private static double cost(Candidate c, int tokens, int cached, boolean model) {
        int running = Math.max(c.inFlight(), c.reported());
        double cost = c.sameDataCenter() ? 0 : OTHER_DATA_CENTER_MS;
        cost += c.cold() ? COLD_MS : 0;
        cost += running >= c.slots() && c.slots() > 0 ? FULL_MS * (1 + running - c.slots()) / c.slots() : 0;
        if (!model) {
            return cost + PLAIN_MS * running / Math.max(1, c.slots());
        }
        return cost
                + (c.pendingTokens() + tokens - Math.min(tokens, cached)) / PREFILL_TOKENS_PER_MS
                + running * RUNNING_MS;
    }

    /** Returns the endpoint that ranks first for the last shared part. Few parts move when endpoints change. */
    private static @Nullable Candidate home(Collection<Candidate> candidates, int part) {
        Candidate home = null;
        for (Candidate c : candidates) {
            if (home == null || ranksBefore(c, home, part)) {
                home = c;
            }
        }
        return home;
    }

    private static boolean ranksBefore(Candidate c, Candidate other, int part) {
        int order = Integer.compare(rank(c, part), rank(other, part));
        return order > 0 || order == 0 && c.id().compareTo(other.id()) < 0;
    }

    private static int rank(Candidate c, int part) {
        return MurmurHash3.hash32(part, c.id().hashCode());
    }

    /**
     * An endpoint as a request sees it.
     *
     * @param id id of the endpoint
     * @param inFlight requests of this router that it has not answered
     * @param reported requests that it runs and queues by its last report, 0 if there is none
     * @param slots requests that it runs at a time, 0 if unknown
     * @param pendingTokens prompt tokens of this router's requests that it has not begun to answer
     * @param cachedTokens tokens at the start of this prompt that it probably has cached
     * @param sameDataCenter whether it is in the data center of this router
     * @param cold whether it has started lately and is slow
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
