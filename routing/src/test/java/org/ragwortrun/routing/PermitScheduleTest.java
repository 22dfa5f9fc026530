package org.ragwortrun.routing;

import static com.google.common.truth.Truth.assertThat;

import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.junit.jupiter.api.Test;

final class PermitScheduleTest {
    private static final long SECOND = 1_000_000_000L;

    /** Guards against routers that all send a request at once after a time without requests. */
    @Test
    void idleRoutersDoNotAllSendAtOnce() {
        UniformRandomProvider random = RandomSource.XO_RO_SHI_RO_128_PP.create(3);
        int routers = 340;
        double share = 1.2 / routers;
        int sent = 0;
        for (int r = 0; r < routers; r++) {
            PermitSchedule schedule = new PermitSchedule(share, random.nextDouble(), 0);
            sent += schedule.tryTake(share, 1_000 * SECOND) ? 1 : 0;
        }
        assertThat(sent).isAtMost(5);
    }

    @Test
    void singleRouterUsesWholeLimit() {
        PermitSchedule schedule = new PermitSchedule(10, 0.5, 0);
        int sent = 0;
        for (long now = 0; now < 20 * SECOND; now += SECOND / 50) {
            sent += schedule.tryTake(10, now) ? 1 : 0;
        }
        assertThat(sent).isAtLeast(195);
        assertThat(sent).isAtMost(201);
    }

    @Test
    void followsRateThatRises() {
        PermitSchedule schedule = new PermitSchedule(0.01, 0.9, 0);
        assertThat(schedule.nanosUntilNext(0.01, 0)).isEqualTo(90 * SECOND);
        assertThat(schedule.nanosUntilNext(10, 0)).isAtMost(SECOND / 10);
    }
}
