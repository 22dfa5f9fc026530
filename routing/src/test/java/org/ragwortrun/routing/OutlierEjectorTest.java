package org.ragwortrun.routing;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

final class OutlierEjectorTest {
    private static final long SECOND = 1_000_000_000L;
    private static final long LATENCY = 50_000_000L;

    private final ManualTime time = new ManualTime();
    private final OutlierEjector ejector = new PeerOutlierEjector(time);

    /** Guards against requests to an endpoint that fails or is slow while its peers are healthy. */
    @Test
    void ejectsFailingAndSlowEndpoints() {
        results(ejector, 6, Set.of(1), Set.of(4));
        assertThat(admitted(ejector, 6)).containsExactly("e0", "e2", "e3", "e5").inOrder();
    }

    /** Guards against the router causing an outage by ejecting all endpoints when a common dependency fails. */
    @Test
    void commonFailureEjectsNoEndpoint() {
        OutlierEjector naive = new NaiveOutlierEjector(time);
        for (OutlierEjector e : List.of(ejector, naive)) {
            results(e, 4, Set.of(0, 1, 2, 3), Set.of());
            results(e, 4, Set.of(0, 1, 2), Set.of());
        }
        assertThat(admitted(ejector, 4)).hasSize(4);
        assertThat(admitted(naive, 4)).isEmpty();
    }

    /** Guards against ejections in several windows that together leave too few endpoints. */
    @Test
    void neverExcludesMoreThanHalf() {
        results(ejector, 6, Set.of(0, 1), Set.of());
        results(ejector, 6, Set.of(2, 3), Set.of());
        assertThat(admitted(ejector, 6)).hasSize(3);
        assertThat(admitted(ejector, 1)).containsExactly("e0");
    }

    /** Guards against an endpoint that keeps failing but is ejected only briefly each time. */
    @Test
    void repeatedEjectionsDoubleInDuration() {
        for (int seconds : new int[] {10, 20, 40}) {
            results(ejector, 3, Set.of(2), Set.of());
            assertThat(admitted(ejector, 3)).hasSize(2);
            time.advanceNanos(seconds * SECOND - 1);
            assertThat(admitted(ejector, 3)).hasSize(2);
            time.advanceNanos(1);
            assertThat(admitted(ejector, 3)).hasSize(3);
        }
    }

    /** Sends results for one window and ends it. */
    private void results(OutlierEjector ejector, int endpoints, Set<Integer> failing, Set<Integer> slow) {
        for (int n = 0; n < 30 * endpoints; n++) {
            int e = n % endpoints;
            long latency = slow.contains(e) ? 5 * LATENCY : LATENCY;
            ejector.onResult("assay", "chat", "e" + e, !failing.contains(e), latency);
        }
        time.advanceNanos(6 * SECOND);
        admitted(ejector, endpoints);
    }

    private static List<String> admitted(OutlierEjector ejector, int endpoints) {
        List<EndpointCandidate> all = IntStream.range(0, endpoints)
                .mapToObj(i -> new EndpointCandidate("e" + i, "i", "v1", "a", 16, 0, Optional.empty()))
                .toList();
        return ejector.excludeEjected(all).stream().map(EndpointCandidate::name).toList();
    }
}
