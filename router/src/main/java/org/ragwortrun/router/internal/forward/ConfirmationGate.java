package org.ragwortrun.router.internal.forward;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.OptionalLong;
import java.util.concurrent.Executor;
import java.util.concurrent.Future;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.jspecify.annotations.Nullable;
import org.ragwortrun.core.concurrent.StandstillMonitor;
import org.ragwortrun.core.log.Event;
import org.ragwortrun.core.metrics.Metrics;
import org.ragwortrun.core.time.Time;

/**
 * Holds requests back until the configuration is known to be recent.
 *
 * <p>A process that stood still may read requests before it reads the changes that wait in its other sockets. Requests then
 * wait for a confirmation by a control member, for a bounded time. They do not wait while calls have had no answer for that
 * time, because a host that is cut off serves what it knows. A host that hears a leader is not cut off, whether or not its
 * own calls are answered. Used on the event loop only.
 */
final class ConfirmationGate {
    /** Longest wait while no member can be reached. Covers a new connection to the leader. */
    static final Duration MAX_WAIT = Duration.ofMillis(500);
    /** Longest wait while members can be reached. Covers an election. */
    static final Duration MAX_ELECTION_WAIT = Duration.ofMillis(1_500);

    private static final Logger LOG = LogManager.getLogger(ConfirmationGate.class);
    // Ends the wait of a process that stands still again and again.
    private static final int MAX_EXTENSIONS = 6;

    private final ConfigurationSource configuration;
    private final StandstillMonitor standstills;
    private final ScheduledExecutorService loop;
    private final Executor afterReads;
    private final Metrics metrics;
    private final Time time;
    private final List<Runnable> waiting = new ArrayList<>();
    private volatile int waitingCount;
    private @Nullable Future<?> timeout;
    private @Nullable Long givenUpNanos;
    private long waitStartNanos;
    private int extensions;

    /**
     * Creates an open gate.
     *
     * @param loop event loop, which runs the timeouts
     * @param afterReads runs the requests that have waited
     */
    ConfirmationGate(
            ConfigurationSource configuration,
            StandstillMonitor standstills,
            ScheduledExecutorService loop,
            Executor afterReads,
            Metrics metrics,
            Time time) {
        this.configuration = configuration;
        this.standstills = standstills;
        this.loop = loop;
        this.afterReads = afterReads;
        this.metrics = metrics;
        this.time = time;
    }

    /** Runs a task now, or when the configuration has been confirmed or the wait has ended. */
    void pass(Runnable task) {
        if (waiting.isEmpty() && isOpen()) {
            task.run();
            return;
        }
        waiting.add(task);
        waitingCount = waiting.size();
        if (waiting.size() == 1) {
            waitStartNanos = time.nanos();
            extensions = 0;
            await(MAX_WAIT.toNanos());
        }
    }

    /** Returns the number of tasks that wait. May be called by any thread. */
    int waiting() {
        return waitingCount;
    }

    /** Handles a confirmation, which may have been requested before this process stood still. */
    void onConfirmed() {
        if (waiting.isEmpty()) {
            return;
        }
        if (configuration.isRecent()) {
            release(true);
        } else {
            configuration.confirm();
        }
    }

    private boolean isOpen() {
        if (configuration.get().isEmpty() || configuration.isRecent()) {
            givenUpNanos = null;
            return true;
        }
        return isCutOff();
    }

    /** Returns whether no leader has been heard for the longest wait, all of which this process has run. */
    private boolean isCutOff() {
        long silent = silentSinceNanos();
        Long givenUp = givenUpNanos;
        if (givenUp != null && givenUp - silent > 0) {
            return true;
        }
        OptionalLong unanswered = configuration.unansweredSinceNanos();
        return unanswered.isPresent() && nanosSince(unanswered.getAsLong(), silent) >= MAX_WAIT.toNanos();
    }

    /** Returns the later of the last standstill and the last frame of a leader, after which a silence can begin. */
    private long silentSinceNanos() {
        long running = standstills.runningSinceNanos();
        long heard = configuration.leaderHeardNanos().orElse(running);
        return heard - running > 0 ? heard : running;
    }

    private void await(long nanos) {
        configuration.confirm();
        timeout = loop.schedule(this::onTimeout, nanos, TimeUnit.NANOSECONDS);
    }

    private void onTimeout() {
        if (waiting.isEmpty()) {
            return;
        }
        Duration limit = configuration.reachesMembers() ? MAX_ELECTION_WAIT : MAX_WAIT;
        long left = limit.toNanos() - nanosSince(waitStartNanos, standstills.runningSinceNanos());
        if (left > 0 && extensions < MAX_EXTENSIONS) {
            extensions++;
            await(Math.min(left, MAX_WAIT.toNanos()));
            return;
        }
        givenUpNanos = time.nanos();
        release(false);
    }

    /** Returns the time since the later of two moments. */
    private long nanosSince(long first, long second) {
        long now = time.nanos();
        return Math.min(now - first, now - second);
    }

    private void release(boolean confirmed) {
        Future<?> t = timeout;
        if (t != null) {
            t.cancel(false);
        }
        long ms = TimeUnit.NANOSECONDS.toMillis(time.nanos() - waitStartNanos);
        metrics.recordDuration("confirmation_wait", confirmed ? "confirmed" : "unanswered", ms);
        Event.of("requests-held")
                .with("tasks", waiting.size())
                .with("ms", ms)
                .with("confirmed", confirmed)
                .with("confirmed-ms", configuration.confirmedAgeMs().orElse(-1))
                .info(LOG);
        List<Runnable> tasks = List.copyOf(waiting);
        waiting.clear();
        waitingCount = 0;
        tasks.forEach(afterReads::execute);
    }
}
