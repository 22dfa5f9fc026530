package org.ragwortrun.router.internal.forward;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.junit.jupiter.api.Test;
import org.ragwortrun.router.internal.forward.LearnedPlacement.Request;
import org.ragwortrun.routing.EndpointPerformance;
import org.ragwortrun.routing.OriginPerformance;

final class LearnedPlacementTest {
    private static final List<PromptPart> LONG = List.of(new PromptPart("shared", 6_300), new PromptPart("own", 2_900));
    private static final Request PLAIN = new Request(List.of(), 0, false);
    private static final Request MODEL = new Request(LONG, 9_400, true);
    private static final long NOW = 1_000_000_000L;
    private static final int REQUESTS = 2_000;

    private final UniformRandomProvider random = RandomSource.XO_RO_SHI_RO_128_PP.create(3);
    private final LearnedPlacement placement = new LearnedPlacement(random::nextDouble);
    private final OriginPerformance origin = new OriginPerformance();

    @Test
    void returnsNothingWithoutCandidates() {
        assertThat(placement.choose(List.<Target>of(), MODEL, origin, NOW)).isEmpty();
    }

    /** All routers know the same of idle endpoints: all of them send everything to one. */
    @Test
    void spreadsRequestsOverEqualEndpoints() {
        Map<String, Integer> counts = counts(List.of(idle("a", 1), idle("b", 1), idle("c", 1), idle("d", 1)), PLAIN);
        assertThat(counts).hasSize(4);
        counts.values().forEach(n -> assertThat(n).isGreaterThan(REQUESTS / 6));
    }

    /** An endpoint that is half as fast gets as many requests as the others, or none when the others are busy. */
    @Test
    void sendsLessToSlowEndpoint() {
        Map<String, Integer> counts = counts(List.of(idle("a", 2), idle("b", 1), idle("c", 1), idle("d", 1)), PLAIN);
        assertThat(counts.getOrDefault("a", 0)).isLessThan(REQUESTS / 7);
        Map<String, Integer> busy = counts(
                List.of(
                        idle("a", 2),
                        idle("b", 1).reporting(30),
                        idle("c", 1).reporting(30),
                        idle("d", 1).reporting(30)),
                PLAIN);
        assertThat(busy.get("a")).isGreaterThan(REQUESTS / 10);
    }

    /** A part that many requests share is read at one endpoint, whichever router sends the request. */
    @Test
    void routersPreferSameEndpointForSharedPart() {
        List<Target> near = List.of(idle("a", 1), idle("b", 1), idle("c", 1));
        List<Target> far = near.stream().map(t -> t.at(!"b".equals(t.id()))).toList();
        assertThat(counts(near, MODEL)).hasSize(1);
        assertThat(counts(far, MODEL)).isEqualTo(counts(near, MODEL));
    }

    /** The endpoint that ranks first for a part is slow: all requests with the part wait for it. */
    @Test
    void slowEndpointIsNotPreferredForSharedPart() {
        String first = counts(List.of(idle("a", 1), idle("b", 1), idle("c", 1)), MODEL)
                .keySet()
                .iterator()
                .next();
        List<Target> slow = List.of("a", "b", "c").stream()
                .map(id -> idle(id, id.equals(first) ? 4 : 1))
                .toList();
        Map<String, Integer> counts = counts(slow, MODEL);
        assertThat(counts).hasSize(1);
        assertThat(counts).doesNotContainKey(first);
    }

    /** A request waits for longer than predicted: its endpoint gets more until the answer shows that it is slow. */
    @Test
    void unansweredRequestIsEvidence() {
        Target late = idle("a", 1).waiting(2_000);
        double cost = placement.costMs(late, MODEL, false, origin, NOW);
        assertThat(cost).isGreaterThan(5 * placement.costMs(idle("a", 1), MODEL, false, origin, NOW));
    }

    /** An endpoint whose slots are in use by its report gets the request, although another one has free slots. */
    @Test
    void avoidsFullEndpoint() {
        List<Target> targets = List.of(idle("a", 1).reporting(64), idle("b", 1));
        assertThat(counts(targets, PLAIN)).containsExactly("b", REQUESTS);
    }

    /** A request that needs more memory than is free is sent to an endpoint where it waits for memory. */
    @Test
    void avoidsEndpointWithoutMemory() {
        List<Target> targets = List.of(idle("a", 1).free(9_000), idle("b", 3).free(9_400));
        assertThat(counts(targets, MODEL)).containsExactly("b", REQUESTS);
        List<Target> none = List.of(idle("a", 1).free(9_000), idle("b", 1).free(9_000));
        assertThat(placement.choose(none, MODEL, origin, NOW)).isPresent();
    }

    /** All endpoints are slow or nearly all: draws must end. */
    @Test
    void choosesAmongSlowEndpoints() {
        List<Target> targets = new ArrayList<>();
        for (int i = 0; i < 600; i++) {
            targets.add(idle("e-" + i, 20));
        }
        assertThat(counts(targets, PLAIN).size()).isGreaterThan(300);
    }

    private Map<String, Integer> counts(List<Target> targets, Request request) {
        Map<String, Integer> counts = new HashMap<>();
        for (int i = 0; i < REQUESTS; i++) {
            counts.merge(
                    placement
                            .choose(targets, request, origin, NOW)
                            .orElseThrow()
                            .id(),
                    1,
                    Integer::sum);
        }
        return counts;
    }

    private static Target idle(String id, double factor) {
        EndpointPerformance performance = new EndpointPerformance(0);
        for (int i = 0; i < 50; i++) {
            performance.record(factor, 1, 1, NOW);
        }
        return new Target(id, performance, 0, 0, Long.MAX_VALUE, true);
    }

    private record Target(
            String id,
            EndpointPerformance performance,
            int reported,
            long waitedMs,
            long freeTokens,
            boolean sameDataCenter)
            implements PlacementTarget {
        Target at(boolean near) {
            return new Target(id, performance, reported, waitedMs, freeTokens, near);
        }

        Target waiting(long ms) {
            return new Target(id, performance, reported, ms, freeTokens, sameDataCenter);
        }

        Target reporting(int running) {
            return new Target(id, performance, running, waitedMs, freeTokens, sameDataCenter);
        }

        Target free(long tokens) {
            return new Target(id, performance, reported, waitedMs, tokens, sameDataCenter);
        }

        @Override
        public int inFlight() {
            return 0;
        }

        @Override
        public int slots() {
            return 64;
        }

        @Override
        public long pendingTokens() {
            return 0;
        }

        @Override
        public long waitedNanos(long now) {
            return waitedMs * 1_000_000;
        }

        @Override
        public int cachedTokens(List<PromptPart> parts) {
            return 0;
        }

        @Override
        public boolean isCold(long now) {
            return false;
        }
    }
}
