package org.ragwortrun.router.internal.forward;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.DoubleSupplier;
import java.util.stream.IntStream;
import org.apache.commons.codec.digest.MurmurHash3;
import org.jspecify.annotations.Nullable;
import org.ragwortrun.routing.OriginPerformance;

/**
 * Chooses the endpoint with the least expected time until it answers, by the learned speeds of the endpoints.
 *
 * <p>All routers know nearly the same about each endpoint. If all of them chose the one with the least cost, it would be
 * overloaded before any of them knew. Therefore two endpoints are drawn at random with a probability in proportion to
 * their speed, and the less costly one is used, so that at equal load each endpoint gets a share in proportion to its
 * speed. More are considered for a prompt: the one that all routers prefer for its shared part, and two of those to which
 * this router has sent most of it before. The number of costs that are computed does not depend on the number of
 * endpoints.
 */
public final class LearnedPlacement {
    // Time by which each running request delays the first event, as its share of an engine step of 5 ms.
    private static final double RUNNING_REQUEST_MS = 0.6;
    // A prompt that is read delays all prompts behind it as well. With 1, requests near the capacity go to endpoints
    // that
    // have their shared part not cached, and all endpoints are overloaded earlier.
    private static final double READING_WEIGHT = 2.5;
    // A request beyond the slots waits for another to end.
    private static final double FULL_PENALTY_MS = 400;
    // Prefers endpoints in the same data center at equal cost, because traffic between data centers is charged.
    private static final double OTHER_DATA_CENTER_PENALTY_MS = 1.5;
    private static final double COLD_PENALTY_MS = 150;
    // An answer that is late by more than this may have been lost, which is up to the health of the endpoint.
    private static final double MAX_LATE_RATIO = 10;
    // Costs within this ratio do not differ by more than the error of the learned values.
    private static final double TOLERANCE = 1.15;
    // An endpoint that is slower than this does not become the preferred one of a shared part.
    private static final double MAX_PREFERRED_FACTOR = 1.6;
    private static final int DRAWN = 2;
    // Share of the requests without a shared part that go to the first endpoint drawn. Of few idle endpoints, one that
    // has
    // answered slowly once would otherwise get no request for seconds.
    private static final double EXPLORED_SHARE = 0.03;
    // A draw already prefers fast endpoints. If costs were compared as they are, slow endpoints would be left idle
    // until
    // the others are overloaded; without their speed, slow endpoints would get their full share when others are idle.
    private static final double FORGIVEN_SLOWNESS = 0.7;
    private static final double MIN_SPEED = 0.05;
    private static final double MAX_SPEED = 2.5;
    // Bounds the time of a draw if nearly all endpoints are slow.
    private static final int MAX_DRAWS = 24;

    private final DoubleSupplier random;

    /**
     * Creates a placement.
     *
     * @param random random numbers from 0 (inclusive) to 1 (exclusive)
     */
    public LearnedPlacement(DoubleSupplier random) {
        this.random = random;
    }

    /**
     * A request that is placed.
     *
     * @param parts parts of its prompt
     * @param maxTokens tokens of memory that it may occupy, 0 if unknown
     * @param model whether the endpoints are language-model servers
     */
    public record Request(List<PromptPart> parts, long maxTokens, boolean model) {
        int tokens() {
            int tokens = 0;
            for (PromptPart p : parts) {
                tokens += p.tokens();
            }
            return tokens;
        }

        /** Returns the tokens before the last part, which is specific to the request or its session. */
        int sharedTokens() {
            return parts.isEmpty() ? 0 : tokens() - parts.get(parts.size() - 1).tokens();
        }
    }

    /** Returns the endpoint for a request, or nothing if there is no endpoint. */
    public <T extends PlacementTarget> Optional<T> choose(
            List<T> targets, Request request, OriginPerformance origin, long now) {
        List<T> fitting = fitting(targets, request);
        if (fitting.size() < 2) {
            return fitting.stream().findFirst();
        }
        T preferred = request.model() && request.sharedTokens() > 0 ? preferred(fitting, request, now) : null;
        List<T> considered = new ArrayList<>(DRAWN + 2);
        for (int i = 0; i < DRAWN; i++) {
            add(considered, draw(fitting, considered, now));
        }
        if (request.model()) {
            add(considered, preferred);
            addMostCached(considered, fitting, request);
        }
        T first = considered.get(0);
        boolean explores = preferred == null && !isFull(first) && random.getAsDouble() < EXPLORED_SHARE;
        return explores
                ? Optional.of(first)
                : Optional.ofNullable(cheapest(considered, preferred, request, origin, now));
    }

    /**
     * Returns the cost of an endpoint for a request: the expected time in milliseconds until it begins to answer, and the
     * delay that this prompt causes to others.
     */
    public double costMs(
            PlacementTarget target, Request request, boolean preferred, OriginPerformance origin, long now) {
        int cached = target.cachedTokens(request.parts());
        int tokens = request.tokens();
        int uncached = tokens - Math.min(tokens, preferred ? Math.max(request.sharedTokens(), cached) : cached);
        double factor = target.performance().factor(now);
        // An answer that is late is evidence before it arrives.
        double pending = target.pendingTokens();
        double expectedWait = factor * origin.predictWaitMs(pending);
        double late = target.waitedNanos(now) / 1e6 / expectedWait;
        factor *= Math.max(1, Math.min(MAX_LATE_RATIO, late));
        int running = Math.max(target.inFlight(), target.reported());
        int slots = target.slots();
        double queueing =
                request.model() ? running * RUNNING_REQUEST_MS : origin.baseMs() * running / Math.max(1, slots);
        if (slots > 0 && running >= slots) {
            queueing += FULL_PENALTY_MS * (1 + running - slots) / slots;
        }
        return factor * (origin.predictMs(pending + READING_WEIGHT * uncached) + queueing)
                + (target.sameDataCenter() ? 0 : OTHER_DATA_CENTER_PENALTY_MS)
                + (target.isCold(now) ? COLD_PENALTY_MS : 0);
    }

    private static boolean isFull(PlacementTarget t) {
        return t.slots() > 0 && Math.max(t.inFlight(), t.reported()) >= t.slots();
    }

    /** Returns the endpoints that have memory for a request, or all if none has. */
    private static <T extends PlacementTarget> List<T> fitting(List<T> targets, Request request) {
        if (request.maxTokens() == 0) {
            return targets;
        }
        boolean allFit = true;
        for (T t : targets) {
            allFit &= t.freeTokens() >= request.maxTokens();
        }
        if (allFit) {
            return targets;
        }
        List<T> fitting = targets.stream()
                .filter(t -> t.freeTokens() >= request.maxTokens())
                .toList();
        return fitting.isEmpty() ? targets : fitting;
    }

    private static <T extends PlacementTarget> void add(List<T> considered, @Nullable T target) {
        if (target != null && !considered.contains(target)) {
            considered.add(target);
        }
    }

    /** Draws an endpoint that was not drawn before, with a probability in proportion to its speed. */
    private <T extends PlacementTarget> T draw(List<T> targets, List<T> drawn, long now) {
        for (int i = 0; i < MAX_DRAWS; i++) {
            T t = targets.get((int) (random.getAsDouble() * targets.size()));
            double speed =
                    Math.max(MIN_SPEED, Math.min(MAX_SPEED, 1 / t.performance().factor(now)));
            if (!drawn.contains(t) && random.getAsDouble() * MAX_SPEED < speed) {
                return t;
            }
        }
        int first = (int) (random.getAsDouble() * targets.size());
        return IntStream.range(first, first + targets.size())
                .mapToObj(i -> targets.get(i % targets.size()))
                .filter(t -> !drawn.contains(t))
                .findFirst()
                .orElse(targets.get(first));
    }

    private <T extends PlacementTarget> @Nullable T cheapest(
            List<T> considered, @Nullable T preferred, Request request, OriginPerformance origin, long now) {
        T best = null;
        T second = null;
        double least = Double.POSITIVE_INFINITY;
        double next = Double.POSITIVE_INFINITY;
        for (T t : considered) {
            double cost = costMs(t, request, t.equals(preferred), origin, now)
                    * Math.pow(t.performance().factor(now), -FORGIVEN_SLOWNESS);
            if (best == null || cost < least) {
                second = best;
                next = least;
                best = t;
                least = cost;
            } else if (cost < next) {
                second = t;
                next = cost;
            }
        }
        // The endpoint with the shared part stays preferred in near ties, so that the part is read at few endpoints.
        boolean nearTie = second != null && next < least * TOLERANCE && preferred == null;
        return nearTie && random.getAsDouble() < 0.5 ? second : best;
    }

    /** Adds endpoints that are drawn among those to which this router has sent most of the prompt, if any. */
    private <T extends PlacementTarget> void addMostCached(List<T> considered, List<T> targets, Request request) {
        List<T> cached = new ArrayList<>();
        int most = 1;
        for (T t : targets) {
            int tokens = t.cachedTokens(request.parts());
            if (tokens > most) {
                cached.clear();
                most = tokens;
            }
            if (tokens == most) {
                cached.add(t);
            }
        }
        for (int i = 0; i < DRAWN && !cached.isEmpty(); i++) {
            add(considered, cached.remove((int) (random.getAsDouble() * cached.size())));
        }
    }

    /**
     * Returns the endpoint that ranks first for the last shared part, or the second if the first is much slower than the
     * others. When endpoints change, few parts get another one.
     */
    private static <T extends PlacementTarget> @Nullable T preferred(List<T> targets, Request request, long now) {
        int part = request.parts()
                .get(Math.max(0, request.parts().size() - 2))
                .id()
                .hashCode();
        T first = null;
        T second = null;
        int firstRank = 0;
        int secondRank = 0;
        for (T t : targets) {
            int rank = MurmurHash3.hash32(part, t.id().hashCode());
            if (first == null || rank > firstRank) {
                second = first;
                secondRank = firstRank;
                first = t;
                firstRank = rank;
            } else if (second == null || rank > secondRank) {
                second = t;
                secondRank = rank;
            }
        }
        return first != null
                        && second != null
                        && first.performance().factor(now)
                                > MAX_PREFERRED_FACTOR * second.performance().factor(now)
                ? second
                : first;
    }
}
