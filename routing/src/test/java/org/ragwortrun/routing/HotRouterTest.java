package org.ragwortrun.routing;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;
import static org.ragwortrun.routing.FleetSimulation.SECOND;

import java.util.Arrays;
import java.util.List;
import java.util.function.LongPredicate;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.ragwortrun.routing.FleetSimulation.Result;

/**
 * Replays a data center in which the balancer's hash gives one router 140 requests per second on a link of 7 Mbit/s, and
 * six others 8 each.
 */
final class HotRouterTest {
    private static final double LINK = 875_000;
    private static final int ROUTERS = 7;
    // Each refusal is repeated once, so large requests would fill the links of an overloaded data center by themselves.
    private static final double SMALL_UPLOAD = 1_000;
    private static final double LARGE_ANSWER = 6_500;
    private static final long DEADLINE = 1_500 * FleetSimulation.MS;
    private static final long END = 60 * SECOND;

    /** Guards against callers that wait for a full link while other routers are idle. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3})
    void callersOfHotRouterAreServedInTime(long seed) {
        FleetSimulation before = hot(false, t -> true, seed);
        FleetSimulation after = hot(true, t -> true, seed);
        double waitBefore = meanWaitMs(before);
        double waitAfter = meanWaitMs(after);
        double missedBefore = missed(before);
        double missedAfter = missed(after);
        String figures = String.format(
                "wait %.0f ms, before %.0f ms; missed %.4f, before %.4f; changes %s",
                waitAfter,
                waitBefore,
                missedAfter,
                missedBefore,
                after.routers.get(0).readinessChanges.size());
        assertWithMessage(figures).that(waitAfter).isLessThan(0.05 * waitBefore);
        assertWithMessage(figures).that(missedAfter).isLessThan(0.05);
        assertWithMessage(figures).that(missedBefore).isGreaterThan(0.5);
    }

    /** Guards against shedding that depends on a hub whose messages wait behind others on the full link. */
    @Test
    void shedsWithoutHub() {
        FleetSimulation lost = hot(true, t -> false, 1);
        assertThat(lost.mostWithdrawn).isEqualTo(0);
        assertThat(missed(lost)).isLessThan(0.1);
    }

    /** Guards against a router that never returns because the hub that granted its lease is lost. */
    @Test
    void returnsWhenHubIsLost() {
        FleetSimulation f = hot(true, t -> t < 14 * SECOND, 1);
        assertThat(f.mostWithdrawn).isEqualTo(1);
        List<Long> changes = f.routers.get(0).readinessChanges;
        assertThat(changes).hasSize(2);
        assertThat(changes.get(1) - changes.get(0)).isAtMost(WithdrawalCoordinator.MAX_LEASE_NANOS);
    }

    /** Guards against readiness that alternates so often that the balancer and callers' connections never settle. */
    @Test
    void changesReadinessAtMostSixteenTimesPerMinute() {
        FleetSimulation f = overloaded(3);
        f.run(5 * END);
        assertThat(f.mostWithdrawn).isAtLeast(1);
        f.routers.forEach(r -> assertThat(r.readinessChanges.size() / 5.0).isAtMost(16.0));
    }

    /**
     * Guards against a data center that loses more than a third of its routers because all are overloaded, also when the
     * hub restarts, and against withdrawals that only move load to other overloaded routers.
     */
    @Test
    void atMostThirdLeavesWhenAllAreOverloaded() {
        FleetSimulation f = overloaded(ROUTERS);
        f.at(30 * SECOND, () -> {
            f.hub = new WithdrawalCoordinator();
            f.hub.setResponsible(true, f.now());
        });
        f.run(END);
        assertThat(f.mostWithdrawn).isAtMost(ROUTERS / 3);
        double capacity = ROUTERS * LINK / (SMALL_UPLOAD + LARGE_ANSWER);
        long inTime = f.results.stream().filter(r -> r.inTime(DEADLINE)).count();
        assertThat((double) inTime * SECOND / END).isAtLeast(0.6 * capacity);
    }

    /** Returns a fleet some of whose routers get 1.2 times the requests that their links can carry. */
    private static FleetSimulation overloaded(int routers) {
        double[] links = new double[ROUTERS];
        Arrays.fill(links, LINK);
        FleetSimulation f = new FleetSimulation(links, SMALL_UPLOAD, LARGE_ANSWER, true, t -> true, 2);
        for (int i = 0; i < routers; i++) {
            f.addCallers(i, 20, 140);
        }
        return f;
    }

    /** Guards against a lease that a suspended router continues after it has been given to another one. */
    @Test
    void suspendedRouterDoesNotContinueLease() {
        FleetSimulation f = hotFleet(true, t -> true, 1);
        FleetSimulation.Router r = f.routers.get(0);
        while (!r.isWithdrawn() && f.now() < END) {
            f.run(f.now() + FleetSimulation.MS);
        }
        assertThat(r.isWithdrawn()).isTrue();
        r.suspendedUntil = f.now() + 20 * SECOND;
        f.run(r.suspendedUntil);
        assertThat(r.isWithdrawn()).isFalse();
    }

    private static FleetSimulation hot(boolean decides, LongPredicate hubReachable, long seed) {
        FleetSimulation f = hotFleet(decides, hubReachable, seed);
        f.run(END);
        return f;
    }

    private static FleetSimulation hotFleet(boolean decides, LongPredicate hubReachable, long seed) {
        double[] links = new double[ROUTERS];
        Arrays.fill(links, LINK);
        FleetSimulation f = new FleetSimulation(links, 2_500, 5_000, decides, hubReachable, seed);
        f.addCallers(0, 70, 140);
        for (int i = 1; i < ROUTERS; i++) {
            f.addCallers(i, 4, 8);
        }
        return f;
    }

    private static double meanWaitMs(FleetSimulation f) {
        return f.results.stream()
                        .filter(Result::served)
                        .mapToLong(Result::waitNanos)
                        .average()
                        .orElse(0)
                / FleetSimulation.MS;
    }

    /** Returns the part of requests that miss their deadline, unanswered ones included. */
    private static double missed(FleetSimulation f) {
        long sent = Math.round((140 + 8 * (ROUTERS - 1)) * (double) END / SECOND);
        long inTime = f.results.stream().filter(r -> r.inTime(DEADLINE)).count();
        return Math.max(0, 1 - (double) inTime / sent);
    }
}
