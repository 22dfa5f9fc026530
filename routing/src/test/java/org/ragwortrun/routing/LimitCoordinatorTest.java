package org.ragwortrun.routing;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.junit.jupiter.api.Test;

final class LimitCoordinatorTest {
    private static final long MS = 1_000_000;
    private static final long SECOND = 1_000 * MS;
    private static final long WINDOW = 4 * SECOND;

    private final LimitCoordinator coordinator = new LimitCoordinator();
    private final UniformRandomProvider random = RandomSource.XO_RO_SHI_RO_128_PP.create(7);

    /** Guards against routers that each send a first request, or return together, however many there are. */
    @Test
    void routersTogetherKeepToLimitAndUseIt() {
        for (int routers : List.of(1, 7, 35, 340)) {
            for (double perSecond : List.of(0.5, 1.2, 2.4, 10.0, 200.0)) {
                List<Long> granted = play("e" + routers + perSecond, routers, 1_000, t -> perSecond);
                assertThat(mostInWindow(granted, 0)).isAtMost((int) (1.5 * perSecond * 4 + 5));
                assertThat((double) granted.size()).isAtLeast(0.8 * perSecond * 30 - 2);
            }
        }
    }

    /** Guards against permits that are saved up at a high limit and used after it has fallen. */
    @Test
    void appliesLimitThatFallsAndRises() {
        List<Long> granted = play("e", 7, 300, t -> t < 10 * SECOND ? 40 : t < 20 * SECOND ? 1 : 40);
        List<Long> low = granted.stream()
                .filter(g -> g >= 10 * SECOND + 500 * MS && g < 20 * SECOND)
                .toList();
        assertThat(mostInWindow(low, 0)).isAtMost(11);
        assertThat(granted.stream().filter(g -> g >= 22 * SECOND).count()).isAtLeast((long) (0.8 * 40 * 8));
    }

    @Test
    void replacementGrantsItsShareOnly() {
        LimitStatement statement = new LimitStatement(10, 0, 1);
        long granted = 0;
        for (long now = 1; now < 10 * SECOND; now += 10 * MS) {
            granted += coordinator.request("e", statement, 1, 0.5, now).granted();
        }
        assertThat(granted).isIn(com.google.common.collect.Range.closed(48L, 52L));
    }

    /** Guards against a limit that a router still applies after another one has seen that it ended. */
    @Test
    void tellsRouterWithOlderStatementThatLimitHasEnded() {
        coordinator.request("e", new LimitStatement(1, 0, 10), 0, 1, 20);
        assertThat(coordinator
                        .request("e", LimitStatement.unlimited(20, 30), 0, 1, 40)
                        .limitChanged())
                .isTrue();
        LimitCoordinator.Answer answer = coordinator.request("e", new LimitStatement(1, 5, 12), 3, 1, 50);
        assertThat(answer.granted()).isEqualTo(3);
        assertThat(answer.statement().isLimited()).isFalse();
    }

    @Test
    void coordinatorThatTakesOverGrantsNothingAtOnce() {
        assertThat(coordinator
                        .request("e", new LimitStatement(2, 0, 1), 5, 1, 2)
                        .granted())
                .isEqualTo(0);
    }

    private interface Limit {
        double at(long now);
    }

    /** Lets routers ask at random times, unless they have been told to wait, for 30 s. Returns the times of permits. */
    private List<Long> play(String endpoint, int routers, int demandPerSecond, Limit limit) {
        List<Long> granted = new ArrayList<>();
        long[] askAgain = new long[routers];
        for (long now = 1; now < 30 * SECOND; now += SECOND / demandPerSecond) {
            int r = random.nextInt(routers);
            if (askAgain[r] <= now) {
                LimitCoordinator.Answer answer =
                        coordinator.request(endpoint, new LimitStatement(limit.at(now), now - 1, now), 1, 1, now);
                if (answer.granted() > 0) {
                    granted.add(now);
                } else {
                    askAgain[r] = now + answer.waitNanos();
                }
            }
        }
        return granted;
    }

    private static int mostInWindow(List<Long> times, long from) {
        return times.stream()
                .filter(t -> t >= from)
                .mapToInt(begin -> (int) times.stream()
                        .filter(t -> t >= begin && t - begin < WINDOW)
                        .count())
                .max()
                .orElse(0);
    }
}
