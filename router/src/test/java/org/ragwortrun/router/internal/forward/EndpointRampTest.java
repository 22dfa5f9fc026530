package org.ragwortrun.router.internal.forward;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;
import static org.ragwortrun.router.internal.forward.RampSimulation.MS;
import static org.ragwortrun.router.internal.forward.RampSimulation.SECOND;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.ragwortrun.router.internal.forward.RampSimulation.Endpoint;
import org.ragwortrun.router.internal.forward.RampSimulation.Settings;

/** Tests endpoints that start, are cold or fail, under the load of several routers. */
final class EndpointRampTest {
    private static final int ROUTERS = 28;
    private static final int ENDPOINTS = 8;
    private static final double WARM_UP_PER_SECOND = 12;
    private static final long WARM_UP = 3 * SECOND;
    // What operators tolerate in any second: 1.5 times the rate and 5 requests.
    private static final int MOST_IN_SECOND = (int) (1.5 * WARM_UP_PER_SECOND + 5);
    private static final double LOAD = 600;
    private static final Settings NOT_COLD = new Settings(true, 0, 0, true, r -> true);
    // The decision that ramps replace: each router sends one probe, and then all requests.
    private static final Settings PROBES = new Settings(false, 0, 0, true, r -> true);
    private static final List<Long> SEEDS = List.of(1L, 2L, 3L, 4L, 5L);

    /** Guards against routers that together exceed what a cold endpoint tolerates, whatever they know. */
    @Test
    void routersTogetherKeepToWarmUpRate() {
        for (boolean follows : List.of(false, true)) {
            for (boolean changesId : List.of(false, true)) {
                for (long seed : SEEDS) {
                    RampSimulation s = warmUp(settings(follows, true, ROUTERS), changesId, seed);
                    assertBound(s, "follows " + follows + ", new id " + changesId + ", seed " + seed);
                }
            }
        }
    }

    /** Shows that the load of the other tests exceeds the bound if nothing holds the routers to it. */
    @Test
    void sameLoadWithoutWarmUpRateExceedsBound() {
        Settings unlimited = new Settings(false, 0, 0, true, r -> true);
        for (boolean changesId : List.of(false, true)) {
            RampSimulation s = warmUp(unlimited, changesId, 1);
            assertThat(s.endpoints.get(0).mostInSecond(6 * SECOND + 500 * MS, 9 * SECOND + 500 * MS))
                    .isAtLeast(2 * MOST_IN_SECOND);
        }
    }

    /** Guards against a warm-up rate that is not used, so that the endpoint stays idle while requests wait. */
    @Test
    void usesWarmUpRate() {
        for (long seed : SEEDS) {
            RampSimulation s = warmUp(settings(false, true, ROUTERS), true, seed);
            assertThat(s.endpoints.get(0).arrivals(7 * SECOND, 9 * SECOND))
                    .isAtLeast((long) (0.8 * 2 * WARM_UP_PER_SECOND));
        }
    }

    /** Guards against shares of routers without a coordinator that add up to more than the bound. */
    @Test
    void keepsToWarmUpRateWithoutCoordinator() {
        for (long seed : SEEDS) {
            assertBound(warmUp(settings(false, false, 0), true, seed), "no coordinator known, seed " + seed);
            assertBound(warmUp(settings(false, true, 0), true, seed), "none reached, seed " + seed);
            assertBound(warmUp(settings(false, true, ROUTERS / 2), true, seed), "half reach it, seed " + seed);
        }
    }

    /** Guards against a coordinator that lost its state and grants at once what it has granted before. */
    @Test
    void keepsToWarmUpRateWhenCoordinatorRestarts() {
        for (long seed : SEEDS) {
            RampSimulation s = simulation(settings(true, true, ROUTERS), seed);
            restart(s, 0, true);
            for (long t = 6 * SECOND; t < 10 * SECOND; t += 700 * MS) {
                s.at(t, s::restartCoordinator);
            }
            s.run(12 * SECOND);
            assertBound(s, "seed " + seed);
        }
    }

    /** Guards against routers that send their usual load to a cold endpoint until a list tells them. */
    @Test
    void keepsToWarmUpRateWhenRoutersLearnLate() {
        for (long seed : SEEDS) {
            RampSimulation s = simulation(settings(false, true, ROUTERS), seed);
            for (int i = 0; i < ROUTERS; i += 2) {
                s.routers.get(i).listDelay = SECOND;
            }
            s.endpoints.get(0).changesId = false;
            s.endpoints.get(0).restart(5 * SECOND, 5 * SECOND + 300 * MS);
            s.run(12 * SECOND);
            assertThat(s.endpoints.get(0).mostInSecond(5 * SECOND + 300 * MS, 8 * SECOND + 300 * MS))
                    .isAtMost(MOST_IN_SECOND);
        }
    }

    /** Guards against a ramp that keeps a sound endpoint from its normal share for longer than three seconds. */
    @Test
    void soundEndpointReachesNormalShare() {
        for (long seed : SEEDS) {
            RampSimulation s = simulation(NOT_COLD, seed);
            restart(s, 0, false);
            s.run(14 * SECOND);
            long share = s.endpoints.get(1).arrivals(9_500 * MS, 11_500 * MS);
            assertWithMessage("seed " + seed)
                    .that(s.endpoints.get(0).arrivals(9_500 * MS, 11_500 * MS))
                    .isAtLeast((long) (0.8 * share));
        }
    }

    /** Guards against a ramp that leaves a sound endpoint idle for much longer than one probe of each router did. */
    @Test
    void soundEndpointGetsMostOfWhatProbesGaveIt() {
        for (long seed : SEEDS) {
            long ramps = requestsAfterRestart(NOT_COLD, seed);
            long probes = requestsAfterRestart(PROBES, seed);
            assertWithMessage("seed " + seed).that(ramps).isAtLeast((long) (0.75 * probes));
        }
    }

    private static long requestsAfterRestart(Settings settings, long seed) {
        RampSimulation s = simulation(settings, seed);
        restart(s, 0, false);
        s.run(17 * SECOND);
        return s.endpoints.get(0).arrivals(6_500 * MS, 16_500 * MS);
    }

    /** Guards against a ramp that grows without answers, or that a list which calls the endpoint sound ends. */
    @Test
    void failingEndpointThatIsListedAsSoundStaysHeld() {
        for (long seed : SEEDS) {
            long ramps = badAnswersOfFailingEndpoint(NOT_COLD, seed);
            long probes = badAnswersOfFailingEndpoint(PROBES, seed);
            assertWithMessage("seed " + seed).that(ramps).isAtMost(20 + 2 * 20);
            assertWithMessage("seed " + seed).that(ramps).isAtMost((long) (0.25 * probes));
        }
    }

    private static long badAnswersOfFailingEndpoint(Settings settings, long seed) {
        RampSimulation s = simulation(settings, seed);
        s.at(5 * SECOND, () -> s.endpoints.get(0).failsAll = true);
        s.run(26 * SECOND);
        return s.endpoints.get(0).badAnswers.stream()
                .filter(t -> t >= 6 * SECOND)
                .count();
    }

    /** Guards against requests that an endpoint fails because it gets all at once, again after each success. */
    @Test
    void endpointThatFailsAboveRateGetsFewerRequestsThanItFails() {
        for (long seed : SEEDS) {
            RampSimulation ramps = failingAbove(NOT_COLD, seed);
            RampSimulation probes = failingAbove(PROBES, seed);
            assertWithMessage("seed " + seed)
                    .that(ramps.endpoints.get(0).badAnswers.size())
                    .isAtMost((int) (0.35 * probes.endpoints.get(0).badAnswers.size()));
            assertWithMessage("seed " + seed).that(ramps.served).isAtLeast(probes.served);
        }
    }

    private static RampSimulation failingAbove(Settings settings, long seed) {
        RampSimulation s = simulation(settings, seed);
        s.at(5 * SECOND, () -> s.endpoints.get(0).failsAbovePerSecond = 20);
        s.run(25 * SECOND);
        return s;
    }

    /** Guards against requests that are lost because an endpoint gets its whole share whenever it is up for a moment. */
    @Test
    void flappingEndpointInterruptsFewerRequests() {
        for (long seed : SEEDS) {
            RampSimulation ramps = flapping(NOT_COLD, seed);
            RampSimulation probes = flapping(PROBES, seed);
            assertWithMessage("seed " + seed)
                    .that(ramps.endpoints.get(0).interrupted)
                    .isAtMost((long) (0.6 * probes.endpoints.get(0).interrupted));
            assertWithMessage("seed " + seed).that(ramps.served).isAtLeast((long) (0.98 * probes.served));
        }
    }

    private static RampSimulation flapping(Settings settings, long seed) {
        RampSimulation s = simulation(settings, seed);
        s.endpoints.get(0).changesId = false;
        for (long t = 5 * SECOND; t < 40 * SECOND; t += 4 * SECOND) {
            s.endpoints.get(0).restart(t, t + 1_500 * MS);
        }
        s.run(42 * SECOND);
        return s;
    }

    /** Guards against a bound that fails, or capacity that is lost, while a whole service restarts under full load. */
    @Test
    void serviceRestartsEndpointByEndpoint() {
        for (long seed : SEEDS) {
            RampSimulation s = simulation(settings(true, true, ROUTERS), seed);
            for (int i = 0; i < ENDPOINTS; i++) {
                s.endpoints.get(i).restart((5 + 4L * i) * SECOND, (6 + 4L * i) * SECOND);
            }
            s.run(42 * SECOND);
            for (int i = 0; i < ENDPOINTS; i++) {
                long start = (6 + 4L * i) * SECOND;
                assertWithMessage("seed " + seed + ", endpoint " + i)
                        .that(s.endpoints.get(i).mostInSecond(start, start + WARM_UP))
                        .isAtMost(MOST_IN_SECOND);
            }
            assertWithMessage("seed " + seed).that(s.refused).isEqualTo(0);
            assertWithMessage("seed " + seed).that(s.served).isAtLeast((long) (0.97 * LOAD * 42));
        }
    }

    /** Guards against ramps that refuse requests although endpoints could serve them. */
    @Test
    void rampsDoNotExcludeLastEndpoints() {
        for (long seed : SEEDS) {
            RampSimulation s = simulation(NOT_COLD, seed);
            for (Endpoint e : s.endpoints) {
                e.changesId = false;
                e.restart(5 * SECOND, 6 * SECOND);
            }
            s.at(6 * SECOND, () -> s.refused = 0);
            s.run(8 * SECOND);
            assertWithMessage("seed " + seed).that(s.refused).isAtMost((long) (0.02 * LOAD));
        }
    }

    /** Guards against cold endpoints that exceed their rate because no other endpoint is left. */
    @Test
    void coldEndpointsKeepToRateWhenWholeServiceRestarts() {
        for (long seed : SEEDS) {
            RampSimulation s = simulation(settings(true, true, ROUTERS), seed);
            for (Endpoint e : s.endpoints) {
                e.restart(5 * SECOND, 6 * SECOND);
            }
            s.run(12 * SECOND);
            for (Endpoint e : s.endpoints) {
                assertWithMessage("seed " + seed)
                        .that(e.mostInSecond(6 * SECOND, 9 * SECOND))
                        .isAtMost(MOST_IN_SECOND);
                assertWithMessage("seed " + seed)
                        .that(e.arrivals(7 * SECOND, 9 * SECOND))
                        .isAtLeast((long) (0.5 * 2 * WARM_UP_PER_SECOND));
            }
        }
    }

    private static RampSimulation warmUp(Settings settings, boolean changesId, long seed) {
        RampSimulation s = simulation(settings, seed);
        // Bursts beside the usual load.
        for (long t = 5 * SECOND; t < 12 * SECOND; t += 900 * MS) {
            s.load(t, t + 100 * MS, 4 * LOAD);
        }
        restart(s, 0, changesId);
        s.run(12 * SECOND);
        return s;
    }

    private static void restart(RampSimulation s, int endpoint, boolean changesId) {
        Endpoint e = s.endpoints.get(endpoint);
        e.changesId = changesId;
        e.restart(5 * SECOND, 6 * SECOND + 500 * MS);
    }

    private static void assertBound(RampSimulation s, String what) {
        assertWithMessage(what)
                .that(s.endpoints.get(0).mostInSecond(6 * SECOND + 500 * MS, 9 * SECOND + 500 * MS))
                .isAtMost(MOST_IN_SECOND);
    }

    private static Settings settings(boolean follows, boolean coordinated, int reaching) {
        return new Settings(follows, WARM_UP_PER_SECOND, WARM_UP, coordinated, r -> r < reaching);
    }

    private static RampSimulation simulation(Settings settings, long seed) {
        RampSimulation s = new RampSimulation(settings, ROUTERS, ENDPOINTS, seed);
        s.load(0, 60 * SECOND, LOAD);
        return s;
    }
}
