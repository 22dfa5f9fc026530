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
            assertThat(s.endpoints.get(0).arrivals(8 * SECOND, 9 * SECOND)).isAtLeast((long) (0.6 * 12));
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
