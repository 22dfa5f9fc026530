package org.ragwortrun.router.internal.forward;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.OptionalLong;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.ragwortrun.core.config.Configuration;
import org.ragwortrun.core.config.ConfigurationException;
import org.ragwortrun.core.metrics.Metrics;
import org.ragwortrun.core.time.Time;
import org.ragwortrun.proto.Evacuation;

final class EvacuationTrackerTest {
    private static final long MS = 1_000_000;
    private static final long WALL_START_MS = 1_796_000_000_000L;

    private final Metrics metrics = Metrics.local();
    private long nowMs = 500_000;
    private final Time time = new Time() {
        @Override
        public long nanos() {
            return nowMs * MS;
        }

        @Override
        public long wallMillis() {
            return WALL_START_MS + nowMs;
        }
    };
    private final EvacuationTracker tracker = new EvacuationTracker(time, metrics);

    @AfterEach
    void stop() {
        metrics.close();
    }

    @Test
    void knowsNothingBeforeFirstConfiguration() {
        assertThat(tracker.isEvacuated("n1")).isFalse();
        assertThat(tracker.endedNanos("n1")).isEqualTo(OptionalLong.empty());
    }

    @Test
    void recordsEndByOwnClock() throws ConfigurationException {
        apply(1);
        apply(2, evacuation("n1", true, 2, 0));
        assertThat(tracker.isEvacuated("n1")).isTrue();
        assertThat(tracker.endedNanos("n1")).isEqualTo(OptionalLong.empty());
        nowMs += 70;
        // The leader's clock is far behind.
        apply(3, evacuation("n1", false, 3, 0));
        assertThat(tracker.isEvacuated("n1")).isFalse();
        assertThat(tracker.endedNanos("n1")).isEqualTo(OptionalLong.of(nowMs * MS));
    }

    /** Guards against an end that counts as recent after each later change of the configuration. */
    @Test
    void laterConfigurationsDoNotMoveTheEnd() throws ConfigurationException {
        apply(1);
        apply(2, evacuation("n1", false, 2, 0));
        long ended = nowMs * MS;
        nowMs += 10_000;
        apply(3, evacuation("n1", false, 2, 0), evacuation("n2", true, 3, 0));
        assertThat(tracker.endedNanos("n1")).isEqualTo(OptionalLong.of(ended));
        assertThat(tracker.isEvacuated("n2")).isTrue();
    }

    /** Guards against an end that is missed by a router that saw neither the beginning nor the end. */
    @Test
    void recordsEndOfEvacuationThatItDidNotSee() throws ConfigurationException {
        apply(1, evacuation("n1", false, 1, nowMs));
        nowMs += 60_000;
        apply(3, evacuation("n1", false, 3, nowMs - 40_000));
        assertThat(tracker.endedNanos("n1")).isEqualTo(OptionalLong.of(nowMs * MS));
    }

    /** Guards against a router that takes an evacuation that ended long before its start for a recent one. */
    @Test
    void firstConfigurationTellsAgeOfEnd() throws ConfigurationException {
        apply(3, evacuation("n1", false, 2, nowMs - 40_000), evacuation("n2", false, 3, nowMs + 40_000));
        assertThat(tracker.endedNanos("n1")).isEqualTo(OptionalLong.of((nowMs - 40_000) * MS));
        // A clock that runs ahead must not put the end into the future.
        assertThat(tracker.endedNanos("n2")).isEqualTo(OptionalLong.of(nowMs * MS));
    }

    private void apply(long number, Evacuation... evacuations) throws ConfigurationException {
        tracker.apply(Configuration.of(number, List.of(), List.of(), List.of(), List.of(), List.of(evacuations)));
    }

    private static Evacuation evacuation(String dataCenter, boolean active, long number, long changedMs) {
        return Evacuation.newBuilder()
                .setDataCenter(dataCenter)
                .setActive(active)
                .setNumber(number)
                .setChangedMs(WALL_START_MS + changedMs)
                .build();
    }
}
