package org.ragwortrun.routing;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.junit.jupiter.api.Test;

final class EndpointNoticesTest {
    private static final long MS = 1_000_000;
    private static final Duration MAX_PAUSE = Duration.ofSeconds(20);

    private final EndpointNotices notices = new EndpointNotices(MAX_PAUSE);

    @Test
    void allowsRequestsWithoutNotice() {
        assertThat(notices.earliestSendTime(5 * MS, 1_000)).hasValue(5 * MS);
    }

    @Test
    void leavingEndpointGetsNoRequestsAfterPause() {
        notices.onPause(Duration.ofMillis(10), 0, 0);
        assertThat(notices.onLeaving()).isTrue();
        assertThat(notices.onLeaving()).isFalse();
        assertThat(notices.earliestSendTime(1_000_000 * MS, 0)).isEmpty();
    }

    @Test
    void rampsUpAfterPause() {
        notices.onPause(Duration.ofMillis(300), 0, 0);
        assertThat(notices.earliestSendTime(100 * MS, 0)).hasValue(300 * MS);
        assertThat(notices.earliestSendTime(300 * MS, 0)).hasValue(300 * MS);
        assertThat(notices.earliestSendTime(300 * MS, 1)).hasValue(400 * MS);
        assertThat(notices.earliestSendTime(300 * MS, 7)).hasValue(600 * MS);
        assertThat(notices.earliestSendTime(3_000 * MS, 5_000)).hasValue(3_000 * MS);
    }

    @Test
    void shorterPauseDoesNotReplaceLongerOne() {
        notices.onPause(Duration.ofSeconds(5), 0, 0);
        notices.onPause(Duration.ofSeconds(1), 100 * MS, 0);
        assertThat(notices.earliestSendTime(2_000 * MS, 0)).hasValue(5_000 * MS);
    }

    @Test
    void addsJitterAndLimitsPause() {
        notices.onPause(Duration.ofSeconds(4), 0, 0.5);
        assertThat(notices.earliestSendTime(0, 0)).hasValue(4_500 * MS);
        EndpointNotices tooLong = new EndpointNotices(MAX_PAUSE);
        tooLong.onPause(Duration.ofDays(400), 0, 0);
        assertThat(tooLong.earliestSendTime(0, 0)).hasValue(MAX_PAUSE.toNanos());
    }

    @Test
    void parsesFractionalSeconds() {
        assertThat(EndpointNotices.readSeconds("1.25")).isEqualTo(Duration.ofMillis(1_250));
        assertThat(EndpointNotices.readSeconds(" 0 ")).isEqualTo(Duration.ZERO);
        assertThat(EndpointNotices.readSeconds("1e300")).isGreaterThan(Duration.ofDays(1));
        for (String bad : new String[] {"-1", "", "soon", "NaN", "Infinity", "Wed, 21 Oct 2026 07:28:00 GMT"}) {
            assertThat(EndpointNotices.readSeconds(bad)).isNull();
        }
    }

    /** Sends both kinds of notice at random times, with many seeds. */
    @Test
    void neverAllowsRequestDuringPauseOrAfterLeaving() {
        for (long seed = 1; seed <= 400; seed++) {
            UniformRandomProvider random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
            EndpointNotices n = new EndpointNotices(MAX_PAUSE);
            long asked = 0;
            boolean left = false;
            int inFlight = 0;
            for (long now = 0; now < 5_000; now += 5) {
                if (random.nextInt(150) == 0) {
                    int ms = random.nextInt(1_500);
                    n.onPause(Duration.ofMillis(ms), now * MS, random.nextDouble());
                    asked = Math.max(asked, now + ms);
                }
                if (random.nextInt(700) == 0) {
                    n.onLeaving();
                    left = true;
                }
                inFlight = Math.max(0, inFlight - random.nextInt(2));
                long at = now * MS;
                boolean sends = n.earliestSendTime(at, inFlight).stream().anyMatch(e -> e <= at);
                if (sends) {
                    assertThat(left).isFalse();
                    assertThat(now).isAtLeast(asked);
                    inFlight++;
                } else if (!left) {
                    assertThat(n.earliestSendTime(at, inFlight).orElseThrow()).isGreaterThan(at);
                }
            }
        }
    }
}
