package org.ragwortrun.routing;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.util.List;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.ragwortrun.routing.WithdrawalPolicy.Action;

/** Tests when a router may leave the rotation of the load balancer, and for how long. */
final class WithdrawalTest {
    private static final long MS = 1_000_000L;
    private static final long SECOND = 1_000 * MS;
    private static final long INTERVAL = 100 * MS;
    private static final HostUtilization FULL = new HostUtilization(1, 1, 0);
    private static final HostUtilization BUSY = new HostUtilization(0.7, 0.7, 0);

    private final WithdrawalPolicy policy = new WithdrawalPolicy(0);
    private final WithdrawalCoordinator coordinator = new WithdrawalCoordinator();
    private long now;

    @Test
    void asksOnlyAfterLastingOverload() {
        assertThat(update(4, true, FULL)).isEqualTo(Action.NONE);
        assertThat(update(1, false, BUSY)).isEqualTo(Action.NONE);
        assertThat(update(5, true, FULL)).isEqualTo(Action.NONE);
        assertThat(update(1, true, FULL)).isEqualTo(Action.ASK);
    }

    @Test
    void returnsAtEndOfLease() {
        long asked = leave();
        assertThat(policy.closesConnections(now)).isFalse();
        assertThat(update(23, true, FULL)).isEqualTo(Action.NONE);
        assertThat(policy.closesConnections(now)).isTrue();
        while (now - asked < 6 * SECOND - INTERVAL) {
            assertThat(update(1, true, FULL)).isEqualTo(Action.NONE);
            assertThat(policy.isWithdrawn(now)).isTrue();
        }
        assertThat(update(1, true, FULL)).isEqualTo(Action.EXPIRED);
        assertThat(policy.isWithdrawn(now)).isFalse();
        for (long end = now + 4 * SECOND - INTERVAL; now < end; ) {
            assertThat(update(1, true, FULL)).isEqualTo(Action.NONE);
        }
        assertThat(update(1, true, FULL)).isEqualTo(Action.ASK);
        assertThat(policy.leaseNanos()).isEqualTo(WithdrawalCoordinator.MAX_LEASE_NANOS);
    }

    @Test
    void returnsEarlyWhenLoadIsLow() {
        leave();
        for (long end = now + 4 * SECOND - INTERVAL; now < end; ) {
            assertThat(update(1, false, HostUtilization.IDLE)).isEqualTo(Action.NONE);
        }
        assertThat(update(1, false, HostUtilization.IDLE)).isEqualTo(Action.RETURN);
        assertThat(policy.isWithdrawn(now)).isFalse();
    }

    /** Guards against a router that stays out because it was suspended while it held a lease. */
    @Test
    void suspendedRouterIsReadyAfterItsLease() {
        leave();
        assertThat(policy.isWithdrawn(now + 20 * SECOND)).isFalse();
        now += 20 * SECOND;
        assertThat(update(1, false, HostUtilization.IDLE)).isEqualTo(Action.EXPIRED);
    }

    /** Guards against a lease that a router uses after its coordinator has given it to another one. */
    @Test
    void lateReplyGrantsNothing() {
        update(6, true, FULL);
        long asked = now;
        now += 3 * SECOND;
        policy.onReply(true, 6 * SECOND, asked, now);
        assertThat(policy.isWithdrawn(now)).isFalse();
        now += SECOND;
        update(1, false, BUSY);
        policy.onReply(true, 6 * SECOND, asked, now);
        assertThat(policy.isWithdrawn(now)).isFalse();
    }

    /** Guards against a router that leaves, or never asks again, because its coordinator is lost. */
    @Test
    void asksAgainWhenNoReplyArrives() {
        update(6, true, FULL);
        int asked = 0;
        for (int i = 0; i < 300; i++) {
            asked += update(1, true, FULL) == Action.ASK ? 1 : 0;
            assertThat(policy.isWithdrawn(now)).isFalse();
        }
        assertThat(asked).isAtLeast(5);
        assertThat(asked).isAtMost(10);
    }

    @ParameterizedTest
    @CsvSource({"1,0", "2,0", "3,1", "4,1", "6,2", "7,2", "26,8"})
    void grantsThirdAndNeverLastTwo(int routers, int allowed) {
        coordinator.setResponsible(true, 0);
        List<String> names = IntStream.range(0, routers).mapToObj(i -> "r" + i).toList();
        long later = WithdrawalCoordinator.MAX_LEASE_NANOS;
        long granted = names.stream()
                .filter(n -> coordinator
                        .request(n, 6 * SECOND, routers, names, later)
                        .granted())
                .count();
        assertWithMessage("of %s", routers).that(granted).isEqualTo(allowed);
        long granted2 = names.stream()
                .filter(n -> coordinator
                        .request(n + "x", 6 * SECOND, routers, names, later + 7 * SECOND)
                        .granted())
                .limit(allowed)
                .count();
        assertThat(granted2).isEqualTo(allowed);
    }

    @Test
    void returnedLeaseIsFree() {
        coordinator.setResponsible(true, 0);
        long t = WithdrawalCoordinator.MAX_LEASE_NANOS;
        assertThat(coordinator.request("a", 6 * SECOND, 3, List.of(), t).granted())
                .isTrue();
        WithdrawalCoordinator.Answer denied = coordinator.request("b", 6 * SECOND, 3, List.of(), t + SECOND);
        assertThat(denied.granted()).isFalse();
        assertThat(denied.nanos()).isEqualTo(5 * SECOND);
        coordinator.request("a", 0, 3, List.of(), t + 2 * SECOND);
        assertThat(coordinator
                        .request("b", 6 * SECOND, 3, List.of(), t + 2 * SECOND)
                        .granted())
                .isTrue();
    }

    /** Guards against too many routers out after a restart, or after another router has become the coordinator. */
    @Test
    void newCoordinatorWaitsUntilAllLeasesHaveEnded() {
        long t = 5 * SECOND;
        assertThat(coordinator.request("a", SECOND, 9, List.of(), t).granted()).isFalse();
        coordinator.setResponsible(true, t);
        coordinator.setResponsible(true, t + SECOND);
        long end = t + WithdrawalCoordinator.MAX_LEASE_NANOS;
        assertThat(coordinator.request("a", SECOND, 9, List.of(), end - 1).granted())
                .isFalse();
        assertThat(coordinator.request("a", SECOND, 9, List.of(), end).granted())
                .isTrue();
        coordinator.setResponsible(false, end);
        coordinator.setResponsible(true, end + 1);
        assertThat(coordinator.request("b", SECOND, 9, List.of(), end + 1).granted())
                .isFalse();
    }

    /** Guards against withdrawals that only move load to routers that are overloaded as well. */
    @Test
    void grantsNothingWhileMostRoutersAreOverloaded() {
        coordinator.setResponsible(true, 0);
        long t = WithdrawalCoordinator.MAX_LEASE_NANOS;
        for (int i = 0; i < 5; i++) {
            coordinator.request("r" + i, 6 * SECOND, 9, List.of(), t);
        }
        coordinator.request("r0", 0, 9, List.of(), t + SECOND);
        assertThat(coordinator
                        .request("r4", 6 * SECOND, 9, List.of(), t + SECOND)
                        .granted())
                .isTrue();
        assertThat(coordinator
                        .request("r0", 6 * SECOND, 9, List.of(), t + 5 * SECOND)
                        .granted())
                .isFalse();
        assertThat(coordinator
                        .request("r0", 6 * SECOND, 9, List.of(), t + 12 * SECOND)
                        .granted())
                .isTrue();
    }

    private Action update(int times, boolean sheds, HostUtilization u) {
        Action last = Action.NONE;
        for (int i = 0; i < times; i++) {
            now += INTERVAL;
            last = policy.update(sheds, u, now);
        }
        return last;
    }

    /** Makes the router leave with a lease of six seconds, and returns when it asked. */
    private long leave() {
        assertThat(update(6, true, FULL)).isEqualTo(Action.ASK);
        long asked = now;
        policy.onReply(true, policy.leaseNanos(), asked, now);
        assertThat(policy.isWithdrawn(now)).isTrue();
        return asked;
    }
}
