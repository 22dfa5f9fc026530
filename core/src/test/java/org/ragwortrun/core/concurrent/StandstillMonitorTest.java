package org.ragwortrun.core.concurrent;

import static com.google.common.truth.Truth.assertThat;

import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.ragwortrun.core.metrics.Metrics;
import org.ragwortrun.core.time.Time;

final class StandstillMonitorTest {
    private long nowMs = 1_000;
    private long wallMs = 50_000;
    private final StandstillMonitor monitor = new StandstillMonitor(
            new Time() {
                @Override
                public long nanos() {
                    return TimeUnit.MILLISECONDS.toNanos(nowMs);
                }

                @Override
                public long wallMillis() {
                    return wallMs;
                }
            },
            Metrics.local());

    /** Guards against ordinary delays that count as a standstill. */
    @Test
    void ignoresShortDelays() {
        pass(StandstillMonitor.INTERVAL.toMillis() + 400);
        monitor.check();
        assertThat(runningMs()).isEqualTo(StandstillMonitor.INTERVAL.toMillis() + 400);
    }

    /** Guards against a reader that runs before the check that notices the standstill. */
    @Test
    void showsStandstillBeforeNextCheck() {
        pass(3_000);
        assertThat(runningMs()).isEqualTo(0);
        monitor.check();
        pass(100);
        assertThat(runningMs()).isEqualTo(100);
    }

    /** Guards against a suspended host whose monotonic clock stands still. */
    @Test
    void seesStandstillOfMonotonicClock() {
        wallMs += 3_000;
        monitor.check();
        pass(40);
        assertThat(runningMs()).isEqualTo(40);
    }

    private void pass(long ms) {
        nowMs += ms;
        wallMs += ms;
    }

    private long runningMs() {
        return nowMs - TimeUnit.NANOSECONDS.toMillis(monitor.runningSinceNanos());
    }
}
