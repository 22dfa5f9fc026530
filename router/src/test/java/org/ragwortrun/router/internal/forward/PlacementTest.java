package org.ragwortrun.router.internal.forward;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.ragwortrun.router.internal.forward.Placement.Candidate;

final class PlacementTest {
    private static final List<PromptPart> LONG = List.of(new PromptPart("shared", 6_300), new PromptPart("own", 2_900));

    /** A part that many requests share is read at one endpoint, whichever router sends the request. */
    @Test
    void routersPreferSameEndpointForSharedPart() {
        List<Candidate> one = List.of(idle("a", true), idle("b", false), idle("c", false));
        List<Candidate> other = List.of(idle("a", false), idle("b", false), idle("c", true));
        assertThat(choose(one, LONG)).isEqualTo(choose(other, LONG));
    }

    /**
     * In a burst of requests with one part, other endpoints are used once waiting at the preferred one takes longer
     * than reading the part again.
     */
    @Test
    void avoidsBusyPreferredEndpoint() {
        List<Candidate> idle = List.of(idle("a", true), idle("b", true));
        String preferred = choose(idle, LONG);
        List<Candidate> busy = idle.stream()
                .map(c -> c.id().equals(preferred) ? new Candidate(preferred, 5, 5, 64, 20_000, 6_300, true, false) : c)
                .toList();
        assertThat(choose(busy, LONG)).isNotEqualTo(preferred);
    }

    /** One endpoint has no free slots, the other one has some. */
    @Test
    void avoidsFullEndpoint() {
        List<Candidate> all = List.of(
                new Candidate("a", 6, 6, 6, 0, 0, true, false), new Candidate("b", 3, 3, 6, 0, 0, false, false));
        assertThat(Placement.choose(all, List.of(), false).map(Candidate::id)).hasValue("b");
    }

    @Test
    void returnsNothingWithoutCandidates() {
        assertThat(Placement.choose(List.of(), LONG, true)).isEmpty();
    }

    /** Many different parts are spread over the endpoints, and none gets more than twice its share. */
    @Test
    void spreadsPreferredEndpoints() {
        List<Candidate> all = new ArrayList<>();
        for (int i = 0; i < 6; i++) {
            all.add(idle("i-" + i, true));
        }
        Map<String, Integer> counts = new HashMap<>();
        for (int i = 0; i < 600; i++) {
            List<PromptPart> parts = List.of(new PromptPart("p" + i, 6_300), new PromptPart("own", 10));
            counts.merge(choose(all, parts), 1, Integer::sum);
        }
        assertThat(counts).hasSize(6);
        counts.values().forEach(n -> assertThat(n).isLessThan(200));
    }

    private static String choose(List<Candidate> all, List<PromptPart> parts) {
        return Placement.choose(all, parts, true).map(Candidate::id).orElse("");
    }

    private static Candidate idle(String id, boolean near) {
        return new Candidate(id, 0, 0, 64, 0, 0, near, false);
    }
}
