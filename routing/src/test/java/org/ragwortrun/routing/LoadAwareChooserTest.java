package org.ragwortrun.routing;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.ragwortrun.proto.LoadReport;

final class LoadAwareChooserTest {
    private static final long SECOND = 1_000_000_000L;
    private static final int SLOTS = 16;

    private final Random random = new Random(7);
    private final ManualTime time = new ManualTime();
    private final EndpointChooser chooser = new LoadAwareChooser(random::nextInt, time, new OutputForecast());

    /**
     * Guards against a choice by own requests alone, which overloads an endpoint that is busy with other routers'
     * requests.
     */
    @Test
    void considersLoadFromOtherRouters() {
        List<EndpointCandidate> both = List.of(endpoint("e1", "a", 0, 40), endpoint("e2", "a", 2, 2));
        IntStream.range(0, 100).forEach(i -> assertThat(pick(both, 0)).isEqualTo("e2"));
    }

    /** Guards against sending many requests to an endpoint whose outdated report shows it idle. */
    @Test
    void countsRequestsStartedSinceReport() {
        List<EndpointCandidate> both =
                List.of(candidate("e1", "e1@1", "a", 20, 20, 0), candidate("e2", "e2@1", "a", 3, 0, 3));
        IntStream.range(0, 100).forEach(i -> assertThat(pick(both, 0)).isEqualTo("e2"));
    }

    /** Guards against needless requests to another data center. */
    @Test
    void prefersOwnDataCenterAtEqualLoad() {
        List<EndpointCandidate> both = List.of(endpoint("e1", "b", 1, 1), endpoint("e2", "a", 1, 1));
        IntStream.range(0, 100).forEach(i -> assertThat(pick(both, 0)).isEqualTo("e2"));
    }

    /** Guards against prefix cache misses and against a popular prefix that overloads its endpoint. */
    @Test
    void keepsPrefixAffinityUntilOwnerIsBusy() {
        List<EndpointCandidate> fleet = new ArrayList<>();
        IntStream.range(0, 13).forEach(i -> fleet.add(endpoint("e" + i, "a", 2, 2)));
        String owner = pick(fleet, 99);
        IntStream.range(0, 100).forEach(i -> assertThat(pick(fleet, 99)).isEqualTo(owner));
        List<EndpointCandidate> others =
                fleet.stream().filter(c -> !c.name().equals("e5")).toList();
        if (!owner.equals("e5")) {
            assertThat(pick(others, 99)).isEqualTo(owner);
        }
        fleet.replaceAll(c -> c.name().equals(owner) ? endpoint(owner, "a", 14, 14) : c);
        IntStream.range(0, 100).forEach(i -> assertThat(pick(fleet, 99)).isNotEqualTo(owner));
    }

    /** Guards against full load on an endpoint that has just started and whose caches are cold. */
    @Test
    void slowStartsRestartedEndpoint() {
        List<EndpointCandidate> old = List.of(endpoint("e1", "a", 4, 4), endpoint("e2", "a", 4, 4));
        pick(old, 0);
        time.advanceNanos(60 * SECOND);
        List<EndpointCandidate> restarted = List.of(old.get(0), candidate("e2", "e2@2", "a", 2, 2, 0));
        assertThat(pick(restarted, 0)).isEqualTo("e1");
        time.advanceNanos(31 * SECOND);
        assertThat(pick(restarted, 0)).isEqualTo("e2");
    }

    /** Guards against long answers to one client account that distort the forecast for the others. */
    @Test
    void forecastsOutputPerRouteAndAccount() {
        OutputForecast f = new OutputForecast();
        assertThat(f.expect("r", "long", 1_000)).isEqualTo(1_000);
        for (int i = 0; i < 100; i++) {
            f.onFinished("r", "long", 900);
            f.onFinished("r", "short", 10);
        }
        assertThat(f.expect("r", "long", 1_000)).isGreaterThan(800.0);
        assertThat(f.expect("r", "short", 1_000)).isLessThan(100.0);
        assertThat(f.expect("r", "long", 50)).isEqualTo(50);
    }

    private String pick(List<EndpointCandidate> candidates, long prefix) {
        ChoiceRequest request = new ChoiceRequest("dealer", "chat", "a", 5, 4_000, 200, prefix);
        return chooser.choose(request, candidates).map(EndpointCandidate::name).orElseThrow();
    }

    private static EndpointCandidate endpoint(String name, String dataCenter, int inFlight, int running) {
        return candidate(name, name + "@1", dataCenter, inFlight, running, 0);
    }

    private static EndpointCandidate candidate(
            String name, String incarnation, String dataCenter, int inFlight, int running, int started) {
        LoadReport load = LoadReport.newBuilder().setRunning(running).build();
        return new EndpointCandidate(name, incarnation, "v1", dataCenter, SLOTS, inFlight, started, Optional.of(load));
    }
}
