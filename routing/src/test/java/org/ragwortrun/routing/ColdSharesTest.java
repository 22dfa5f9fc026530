package org.ragwortrun.routing;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Optional;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.junit.jupiter.api.Test;

final class ColdSharesTest {
    private static final long MS = 1_000_000;
    private static final long SECOND = 1_000 * MS;
    private static final long MAX_PERMIT_AGE_NANOS = ColdShares.MAX_REPLY_AGE_NANOS + ColdShares.MAX_CONNECT_NANOS;
    private static final double OVERRUN = 1.5;
    private static final double SLACK = 5;
    private static final int ROUTERS = 28;

    /** Guards against parts that add up to more than operators tolerate, whatever the rate. */
    @Test
    void partsAddUpToLessThanBound() {
        double seconds = 1 + (double) MAX_PERMIT_AGE_NANOS / SECOND;
        double kept = 1 + (double) (ColdShares.VALIDITY_NANOS + ColdShares.MAX_CONNECT_NANOS) / SECOND;
        for (double rate = 0.5; rate < 10_000; rate *= 2) {
            double worst = rate * seconds * (ColdShares.PREFERRED + ColdShares.REPLACEMENT)
                    + rate * kept * ColdShares.UNREACHABLE
                    + 2 * ColdShares.MAX_UNUSED;
            assertThat(worst).isAtMost(OVERRUN * rate + SLACK);
            assertThat(rate * kept * ColdShares.NO_COORDINATOR).isAtMost(OVERRUN * rate + SLACK);
        }
    }

    /**
     * Guards against bursts: one third of the routers each ask one coordinator, another coordinator, or none, all want
     * more than they get, and permits are used as late as allowed.
     */
    @Test
    void coordinatorsAndSharesKeepToBoundTogether() {
        for (long seed = 1; seed <= 5; seed++) {
            for (double rate : List.of(2.0, 12.0, 100.0)) {
                List<Long> sent = play(rate, RandomSource.XO_RO_SHI_RO_128_PP.create(seed));
                assertWithMessage("rate " + rate + ", seed " + seed)
                        .that(mostInSecond(sent))
                        .isAtMost((int) (OVERRUN * rate + SLACK));
                // Routers have requests in 14 of 20 seconds.
                assertThat((double) sent.size()).isAtLeast(0.9 * rate * 14);
            }
        }
    }

    private static List<Long> play(double rate, UniformRandomProvider random) {
        List<LimitCoordinator> coordinators = List.of(new LimitCoordinator(), new LimitCoordinator());
        List<FallbackPermits> fallbacks = new ArrayList<>();
        List<EndpointLimit> limits = new ArrayList<>();
        for (int r = 0; r < ROUTERS; r++) {
            fallbacks.add(new FallbackPermits(random::nextDouble));
            EndpointLimit limit = new EndpointLimit();
            limit.ramp().warmUp().setBounds(rate, 60 * SECOND);
            limit.ramp().warmUp().onSign(WarmUp.Sign.STARTED, 1);
            limits.add(limit);
        }
        List<Long> sent = new ArrayList<>();
        for (long now = 1; now < 20 * SECOND; now += MS) {
            // Bursts, between which permits are saved up.
            int r = random.nextInt(ROUTERS);
            if (now / SECOND % 3 == 2) {
                continue;
            }
            int kind = r % 3;
            int granted = kind < 2
                    ? coordinators
                            .get(kind)
                            .request("e", request(limits.get(r), now), kind == 0 ? 1 : 0.5, now)
                            .granted()
                    : fallbacks
                            .get(r)
                            .take("e", limits.get(r), 3, ROUTERS, true, now)
                            .granted();
            for (int i = 0; i < granted; i++) {
                sent.add(now + (long) (random.nextDouble() * MAX_PERMIT_AGE_NANOS));
            }
        }
        Collections.sort(sent);
        return sent;
    }

    private static LimitCoordinator.Request request(EndpointLimit limit, long now) {
        Optional<RampReport> ramp = limit.ramp().report(now);
        return new LimitCoordinator.Request(LimitStatement.unlimited(now, now), ramp, AnswerCounts.NONE, 3);
    }

    private static int mostInSecond(List<Long> sent) {
        int most = 0;
        int begin = 0;
        for (int i = 0; i < sent.size(); i++) {
            while (sent.get(i) - sent.get(begin) >= SECOND) {
                begin++;
            }
            most = Math.max(most, i - begin + 1);
        }
        return most;
    }
}
