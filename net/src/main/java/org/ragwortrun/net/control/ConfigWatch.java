package org.ragwortrun.net.control;

import com.google.protobuf.ByteString;
import java.time.Duration;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.jspecify.annotations.Nullable;
import org.ragwortrun.core.concurrent.SingleThreadExecutor;
import org.ragwortrun.core.config.Configuration;
import org.ragwortrun.core.config.ConfigurationException;
import org.ragwortrun.core.metrics.Metrics;
import org.ragwortrun.core.refusal.Refusal;
import org.ragwortrun.core.refusal.RefusalReason;
import org.ragwortrun.core.refusal.RefusedException;
import org.ragwortrun.core.time.Time;
import org.ragwortrun.proto.ConfigUpdate;
import org.ragwortrun.proto.Confirm;
import org.ragwortrun.proto.CrashReport;
import org.ragwortrun.proto.Frame;
import org.ragwortrun.proto.Heartbeat;
import org.ragwortrun.proto.Watch;

/**
 * Follows the accepted configuration and holds the daemon's configuration lease.
 *
 * <p>The lease starts when the confirmation is sent, so it expires here before the leader may consider it expired. A
 * configuration with a number below the highest one seen is never applied.
 *
 * <p>Periodic work calls the leader, to confirm the configuration or to fetch a newer one. It does not depend on the end
 * of an earlier call, which only makes the next one come sooner: after a call without an answer, a newer number, or the
 * announcement of a leader. An answer that comes after the next call was sent still counts. State changes on the thread of
 * the timer only.
 */
public final class ConfigWatch implements AutoCloseable {
    private static final int META_GROUP = 0;
    // If the leader is isolated and does not answer, a lease of 3 s leaves time to try several other members.
    private static final Duration PATIENCE = Duration.ofMillis(400);
    // A later answer confirms nothing recent.
    private static final Duration CALL_TIMEOUT = Duration.ofSeconds(2);
    private static final long RETRY_MS = 100;
    private static final Duration RETRY_AFTER = Duration.ofSeconds(1);

    private final ControlClient control;
    private final ScheduledExecutorService timer;
    private final Time time;
    private final Consumer<Configuration> listener;
    private final ConfigWatchLog log;
    private volatile ConfigState state = ConfigState.NONE;
    private volatile @Nullable Confirmation confirmation;
    // Highest number that a member has named.
    private volatile long newest;
    private volatile @Nullable Long unansweredSince;
    private volatile @Nullable Long leaderHeardNanos;
    private volatile Runnable confirmationListener = () -> {};
    private volatile boolean closed;
    private @Nullable Call running;
    // Highest term of a leader. A leader of an earlier one that was suspended may not know that its lease has ended.
    private long term;

    /**
     * Creates a watch, which {@link #start} starts.
     *
     * @param metrics receives delays and ages in milliseconds, and counts
     * @param listener receives each applied configuration on the thread of the timer
     */
    public ConfigWatch(
            ControlClient control,
            ScheduledExecutorService timer,
            Time time,
            Metrics metrics,
            Consumer<Configuration> listener) {
        this.control = control;
        this.timer = timer;
        this.time = time;
        this.listener = listener;
        log = new ConfigWatchLog(time, metrics, () -> control.leader(META_GROUP).orElse(""));
        metrics.gauge(
                "configuration_confirmed_age_ms",
                "Time since the last answered confirmation of the configuration was sent, -1 if there is none",
                () -> confirmedAgeMs().orElse(-1));
    }

    /** Starts to confirm the configuration periodically. */
    public void start(Duration interval) {
        SingleThreadExecutor.repeat(timer, this::callUnlessRunning, 0, interval.toMillis());
    }

    /** Sets a task that runs on the thread of the timer after each confirmation. */
    public void setConfirmationListener(Runnable task) {
        confirmationListener = task;
    }

    /** Confirms the configuration now, unless a call is under way. */
    public void confirm() {
        execute(this::callUnlessRunning);
    }

    /**
     * Handles a frame that a control member sent without a request: an update, or the heartbeat with which a new leader
     * announces itself. Other frames are ignored.
     */
    public void onPush(Frame frame) {
        if (frame.hasConfigUpdate()) {
            long receivedAt = time.nanos();
            leaderHeardNanos = receivedAt;
            // A late reply to a call that has ended has the number of the call.
            ConfigDelivery delivery = frame.getCall() == 0 ? ConfigDelivery.PUSH : ConfigDelivery.FETCH;
            execute(() -> apply(frame.getConfigUpdate(), delivery, receivedAt));
        } else if (frame.hasHeartbeat() && frame.getCall() == 0) {
            leaderHeardNanos = time.nanos();
            execute(() -> onAnnouncement(frame.getHeartbeat()));
        }
    }

    /**
     * Returns the configuration in force, if the lease on it is valid by both clocks. The monotonic one may have stood still
     * while the host was suspended.
     */
    public Optional<Configuration> inForce() {
        ConfigState s = state;
        Confirmation c = confirmation;
        boolean valid = !closed && c != null && c.lease.isValid(time.nanos(), time.wallMillis());
        return valid ? s.configuration() : Optional.empty();
    }

    /** Returns the latest configuration even if its lease has expired, for work that is already running. */
    public Optional<Configuration> latest() {
        return state.configuration();
    }

    /**
     * Returns the configuration in force.
     *
     * @throws RefusedException with {@code configuration-lease-expired} if the lease has expired
     */
    public Configuration require() throws RefusedException {
        return inForce()
                .orElseThrow(() -> new RefusedException(Refusal.notRun(
                        RefusalReason.CONFIGURATION_LEASE_EXPIRED,
                        "no control member has confirmed the configuration of this host",
                        RETRY_AFTER)));
    }

    /**
     * Returns whether a configuration contains all changes that were accepted before a time ago: a leader has confirmed it
     * or an earlier one in a call that was sent less than that time ago, and no newer one is known. The monotonic clock
     * may have stood still while the host was suspended, so the wall clock must agree.
     */
    public boolean isConfirmedWithin(Duration age, Configuration configuration) {
        return configuration.number() > 0
                && !configuration.hasOnlyOrders()
                && newest <= configuration.number()
                && isConfirmedWithin(age);
    }

    /**
     * Returns whether the latest configuration contains all changes that were accepted before a time ago, by both clocks. A
     * newer one may be known.
     */
    public boolean isConfirmedWithin(Duration age) {
        Confirmation c = confirmation;
        return !closed
                && c != null
                && time.nanos() - c.sentAt < age.toNanos()
                && time.wallMillis() - c.sentWallMillis < age.toMillis();
    }

    /**
     * Returns the monotonic time in nanoseconds at which the first call was sent since the last answered one, empty if all
     * have been answered.
     */
    public OptionalLong unansweredSinceNanos() {
        Long since = unansweredSince;
        return since == null ? OptionalLong.empty() : OptionalLong.of(since);
    }

    /**
     * Returns the monotonic time in nanoseconds at which a leader last answered a call or sent an update or announcement,
     * empty if none has. What it sent then may be older: a frame without a call does not confirm anything.
     */
    public OptionalLong leaderHeardNanos() {
        Long heard = leaderHeardNanos;
        return heard == null ? OptionalLong.empty() : OptionalLong.of(heard);
    }

    /**
     * Returns the time in milliseconds since the last answered confirmation of the configuration was sent, empty if none
     * was answered.
     */
    public OptionalLong confirmedAgeMs() {
        Confirmation c = confirmation;
        return c == null
                ? OptionalLong.empty()
                : OptionalLong.of(TimeUnit.NANOSECONDS.toMillis(time.nanos() - c.sentAt));
    }

    /** Returns whether requests with this content digest are refused because they crash endpoints. */
    public boolean isRefused(ByteString digest) {
        return state.crashTimes().containsKey(digest);
    }

    /** Returns the reports on quarantined parts of prompts, by the digest of the part. */
    public Map<ByteString, CrashReport> quarantinedParts() {
        return state.quarantinedParts();
    }

    /** Returns the wall-clock time of the latest crash for each refused content digest, in milliseconds. */
    public Map<ByteString, Long> crashTimes() {
        return state.crashTimes();
    }

    @Override
    public void close() {
        closed = true;
    }

    private void callUnlessRunning() {
        Call c = running;
        if (c == null || time.nanos() - c.end >= 0) {
            call();
        }
    }

    private void callLater() {
        timer.schedule(SingleThreadExecutor.guarded(this::callUnlessRunning), RETRY_MS, TimeUnit.MILLISECONDS);
    }

    /** Confirms the configuration, or fetches a newer one if one is known or there is none yet. */
    private void call() {
        if (closed) {
            return;
        }
        long sentAt = time.nanos();
        long sentWallMillis = time.wallMillis();
        ConfigState s = state;
        boolean behind = s.current() == null || newest > s.number();
        Frame.Builder request = behind
                ? Frame.newBuilder().setWatch(Watch.newBuilder().setHaveNumber(s.number()))
                : Frame.newBuilder().setConfirm(Confirm.newBuilder().setNumber(s.number()));
        Call c = new Call(s.number(), behind, sentAt, sentWallMillis, sentAt + PATIENCE.toNanos());
        running = c;
        if (unansweredSince == null) {
            unansweredSince = sentAt;
        }
        control.call(META_GROUP, request, PATIENCE, CALL_TIMEOUT).whenComplete((reply, failure) -> {
            long receivedAt = time.nanos();
            execute(() -> onReply(c, reply, failure, receivedAt));
        });
        timer.schedule(SingleThreadExecutor.guarded(() -> onOverdue(c)), PATIENCE.toMillis(), TimeUnit.MILLISECONDS);
    }

    /** Calls again, while the answer to this call may still come. */
    private void onOverdue(Call call) {
        if (call.equals(running)) {
            running = null;
            onUnanswered(call, null);
        }
    }

    private void onUnanswered(Call call, @Nullable Throwable failure) {
        if (!closed) {
            log.onUnanswered(call.fetch, confirmedAgeMs(), failure);
            callLater();
        }
    }

    private void onReply(Call call, @Nullable Frame reply, @Nullable Throwable failure, long receivedAt) {
        boolean inTime = call.equals(running);
        if (inTime) {
            running = null;
        }
        if (reply != null && reply.hasHeartbeat() && reply.getHeartbeat().getTerm() >= term) {
            onAnswered(receivedAt);
            onHeartbeat(call, reply.getHeartbeat());
        } else if (reply != null && reply.hasConfigUpdate()) {
            onAnswered(receivedAt);
            onFetched(reply.getConfigUpdate(), receivedAt);
        } else if (inTime) {
            onUnanswered(call, failure);
        }
    }

    private void onAnswered(long receivedAt) {
        unansweredSince = null;
        leaderHeardNanos = receivedAt;
        log.onAnswered();
    }

    private void onAnnouncement(Heartbeat heartbeat) {
        if (heartbeat.getTerm() >= term) {
            term = heartbeat.getTerm();
            learnNumber(heartbeat.getNumber());
            call();
        }
    }

    private void onHeartbeat(Call call, Heartbeat heartbeat) {
        term = heartbeat.getTerm();
        learnNumber(heartbeat.getNumber());
        if (heartbeat.getNumber() <= state.number()) {
            int leaseMs = heartbeat.getNumber() == call.number ? heartbeat.getLeaseMs() : 0;
            confirmation = Confirmation.of(call, leaseMs, confirmation);
            confirmationListener.run();
        }
        if (newest > state.number()) {
            callUnlessRunning();
        }
    }

    private void onFetched(ConfigUpdate update, long receivedAt) {
        if (update.getNumber() < newest) {
            // The leader does not have the number that another member has named, so nothing newer can be fetched.
            newest = Math.max(update.getNumber(), state.number());
        }
        apply(update, ConfigDelivery.FETCH, receivedAt);
    }

    private void learnNumber(long number) {
        if (number > newest) {
            newest = number;
            if (number > state.number()) {
                log.onBehind(state.number(), number);
            }
        }
    }

    private void apply(ConfigUpdate update, ConfigDelivery delivery, long receivedAt) {
        ConfigState before = state;
        boolean first = before.current() == null;
        if (!first && update.getNumber() <= before.number()) {
            return;
        }
        if (update.getBase() != 0 && update.getBase() != before.number()) {
            learnNumber(update.getNumber());
            callUnlessRunning();
            return;
        }
        ConfigState next;
        try {
            next = before.with(update);
        } catch (ConfigurationException e) {
            // Control checks before it accepts, so the software versions differ. Refusing is safer than guessing.
            learnNumber(update.getNumber());
            log.onUnreadable(update, e);
            return;
        }
        state = next;
        newest = Math.max(newest, next.number());
        log.onApplied(
                update,
                first ? ConfigDelivery.FIRST : delivery,
                receivedAt,
                next.sections().size(),
                confirmedAgeMs());
        next.configuration().ifPresent(listener);
        call();
    }

    /** Runs a task on the thread of the timer, unless the process is stopping. */
    private void execute(Runnable task) {
        if (!closed) {
            timer.execute(SingleThreadExecutor.guarded(task));
        }
    }

    /**
     * A call to the leader that may not have ended.
     *
     * @param number number of the configuration when it was sent
     * @param fetch whether it requests an update
     * @param sentAt monotonic time in nanoseconds
     * @param sentWallMillis the same by the wall clock
     * @param end monotonic time after which it counts as lost
     */
    private record Call(long number, boolean fetch, long sentAt, long sentWallMillis, long end) {}

    /**
     * A leader's answer that no configuration was newer than the one here.
     *
     * @param sentAt monotonic time at which the call was sent
     * @param sentWallMillis the same by the wall clock
     * @param lease the end of the latest lease, which may be that of an earlier answer
     */
    private record Confirmation(long sentAt, long sentWallMillis, Lease lease) {
        /** Returns the confirmation after an answer, which extends the lease only if it has one. */
        static Confirmation of(Call call, int leaseMs, @Nullable Confirmation before) {
            Lease lease =
                    new Lease(call.sentAt + TimeUnit.MILLISECONDS.toNanos(leaseMs), call.sentWallMillis + leaseMs);
            if (before == null) {
                return new Confirmation(call.sentAt, call.sentWallMillis, lease);
            }
            boolean later = call.sentAt - before.sentAt > 0;
            return new Confirmation(
                    later ? call.sentAt : before.sentAt,
                    later ? call.sentWallMillis : before.sentWallMillis,
                    lease.nanos - before.lease.nanos > 0 ? lease : before.lease);
        }
    }

    /** The end of a lease by the monotonic and the wall clock. */
    private record Lease(long nanos, long wallMillis) {
        boolean isValid(long nowNanos, long nowWallMillis) {
            return nanos - nowNanos > 0 && wallMillis - nowWallMillis > 0;
        }
    }
}
