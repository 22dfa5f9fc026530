package org.ragwortrun.core.concurrent;

import java.time.Duration;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.ragwortrun.core.log.Event;
import org.ragwortrun.core.metrics.Metrics;
import org.ragwortrun.core.time.Time;

/**
 * Notices that a thread of this process did not run when it was due.
 *
 * <p>The causes are many: a suspended host, no processor time, a garbage collection, a blocked task. What this process
 * knows of others may be older afterwards than its timers tell.
 */
public final class StandstillMonitor {
    /** Interval of the checks. */
    public static final Duration INTERVAL = Duration.ofMillis(250);

    private static final Logger LOG = LogManager.getLogger(StandstillMonitor.class);
    private static final long INTERVAL_MS = INTERVAL.toMillis();
    private static final long SHORTEST_MS = 500;

    private final Time time;
    private final Metrics metrics;
    private volatile Check last;
    private volatile long endNanos;

    /** Creates a monitor without checks, which {@link #start} starts. */
    public StandstillMonitor(Time time, Metrics metrics) {
        this.time = time;
        this.metrics = metrics;
        last = new Check(time.nanos(), time.wallMillis());
        endNanos = last.nanos;
    }

    /** Checks the thread of a timer periodically. */
    public void start(ScheduledExecutorService timer) {
        SingleThreadExecutor.repeat(timer, this::check, INTERVAL_MS, INTERVAL_MS);
    }

    /** Records a standstill if the last check was too long ago. */
    public void check() {
        Check before = last;
        Check now = new Check(time.nanos(), time.wallMillis());
        long lateMs = lateMs(before, now);
        boolean stoodStill = lateMs >= SHORTEST_MS;
        if (stoodStill) {
            endNanos = now.nanos;
        }
        // Set after the end of the standstill, so that a reader that sees no late check sees that end.
        last = now;
        if (stoodStill) {
            metrics.recordDuration("standstill", "", lateMs);
            Event.of("process-stood-still")
                    .with("thread", Thread.currentThread().getName())
                    .with("ms", lateMs)
                    .with("monotonic-ms", TimeUnit.NANOSECONDS.toMillis(now.nanos - before.nanos))
                    .with("wall-ms", now.wallMillis - before.wallMillis)
                    .warn(LOG);
        }
    }

    /**
     * Returns the monotonic time in nanoseconds since which the thread has run without a standstill. It is the current
     * time if the thread is late now.
     */
    public long runningSinceNanos() {
        Check before = last;
        Check now = new Check(time.nanos(), time.wallMillis());
        return lateMs(before, now) >= SHORTEST_MS ? now.nanos : endNanos;
    }

    /** Returns how much later than due a check is, by the clock that shows more: one may stand still with its host. */
    private static long lateMs(Check before, Check now) {
        long monotonicMs = TimeUnit.NANOSECONDS.toMillis(now.nanos - before.nanos);
        return Math.max(monotonicMs, now.wallMillis - before.wallMillis) - INTERVAL_MS;
    }

    private record Check(long nanos, long wallMillis) {}
}
