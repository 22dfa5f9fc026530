package org.ragwortrun.routing;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.junit.jupiter.api.Test;

/** When an endpoint gets requests after what it has said of itself. */
final class EndpointNoticesTest {
    private static final long MS = 1_000_000;
    private static final Duration LONGEST = Duration.ofSeconds(20);

    private final EndpointNotices notices = new EndpointNotices(LONGEST);

    @Test
    void anEndpointThatSaidNothingGetsRequests() {
        assertThat(notices.earliest(5 * MS, 1_000)).hasValue(5 * MS);
    }

    @Test
    void aLeavingEndpointGetsNothingEvenAfterAPause() {
        notices.onPause(Duration.ofMillis(10), 0, 0);
        assertThat(notices.onLeaving()).isTrue();
        assertThat(notices.onLeaving()).isFalse();
        assertThat(notices.earliest(1_000_000 * MS, 0)).isEmpty();
    }

    @Test
    void afterAPauseTheLoadReturnsStepByStep() {
        notices.onPause(Duration.ofMillis(300), 0, 0);
        assertThat(notices.earliest(100 * MS, 0)).hasValue(300 * MS);
        assertThat(notices.earliest(300 * MS, 0)).hasValue(300 * MS);
        assertThat(notices.earliest(300 * MS, 1)).hasValue(400 * MS);
        assertThat(notices.earliest(300 * MS, 7)).hasValue(600 * MS);
        assertThat(notices.earliest(3_000 * MS, 5_000)).hasValue(3_000 * MS);
    }

    @Test
    void aShorterTimeDoesNotUndoALongerOne() {
        notices.onPause(Duration.ofSeconds(5), 0, 0);
        notices.onPause(Duration.ofSeconds(1), 100 * MS, 0);
        assertThat(notices.earliest(2_000 * MS, 0)).hasValue(5_000 * MS);
    }

    @Test
    void routersReturnAtDifferentTimesWithinABound() {
        notices.onPause(Duration.ofSeconds(4), 0, 0.5);
        assertThat(notices.earliest(0, 0)).hasValue(4_500 * MS);
        EndpointNotices absurd = new EndpointNotices(LONGEST);
        absurd.onPause(Duration.ofDays(400), 0, 0);
        assertThat(absurd.earliest(0, 0)).hasValue(LONGEST.toNanos());
    }

    @Test
    void readsSecondsWithAFraction() {
        assertThat(EndpointNotices.readSeconds("1.25")).isEqualTo(Duration.ofMillis(1_250));
        assertThat(EndpointNotices.readSeconds(" 0 ")).isEqualTo(Duration.ZERO);
        assertThat(EndpointNotices.readSeconds("1e300")).isGreaterThan(Duration.ofDays(1));
        for (String bad : new String[] {"-1", "", "soon", "NaN", "Infinity", "Wed, 21 Oct 2026 07:28:00 GMT"}) {
            assertThat(EndpointNotices.readSeconds(bad)).isNull();
        }
    }

    /** Plays both notices at random times at twelve routers with one endpoint, with many seeds. */
    @Test
    void noRouterSendsAgainstWhatItHasHeard() {
        for (long seed = 1; seed <= 400; seed++) {
            UniformRandomProvider random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
            EndpointNotices n = new EndpointNotices(LONGEST);
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
                boolean sends = n.earliest(at, inFlight).stream().anyMatch(e -> e <= at);
                if (sends) {
                    assertThat(left).isFalse();
                    assertThat(now).isAtLeast(asked);
                    inFlight++;
                } else if (!left) {
                    assertThat(n.earliest(at, inFlight).orElseThrow()).isGreaterThan(at);
                }
            }
        }
    }
}
