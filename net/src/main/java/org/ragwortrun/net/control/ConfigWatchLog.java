package org.ragwortrun.net.control;

import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.jspecify.annotations.Nullable;
import org.ragwortrun.core.concurrent.Causes;
import org.ragwortrun.core.log.Event;
import org.ragwortrun.core.metrics.Metrics;
import org.ragwortrun.core.time.Time;
import org.ragwortrun.proto.ConfigUpdate;

/** Logs and measures how a daemon follows the configuration. Used by several threads. */
final class ConfigWatchLog {
    private static final Logger LOG = LogManager.getLogger(ConfigWatch.class);
    private static final long NONE = Long.MIN_VALUE;

    private final Time time;
    private final Metrics metrics;
    private final Supplier<String> leader;
    private long confirmedNanos = NONE;
    private long unansweredSince = NONE;
    private long unanswered;
    private long behindLogged;

    ConfigWatchLog(Time time, Metrics metrics, Supplier<String> leader) {
        this.time = time;
        this.metrics = metrics;
        this.leader = leader;
        metrics.gauge(
                "configuration_confirmed_age_ms",
                "Time since the last answered confirmation of the configuration was sent, -1 if there is none",
                () -> confirmedAgeMs().orElse(-1));
    }

    /** Returns the time since the last answered confirmation was sent. */
    synchronized OptionalLong confirmedAgeMs() {
        return confirmedNanos == NONE ? OptionalLong.empty() : OptionalLong.of(millisSince(confirmedNanos));
    }

    /** Records that the leader confirmed the configuration in force here. */
    synchronized void onConfirmed(long sentAt) {
        confirmedNanos = sentAt;
    }

    /** Records a confirmation without an answer. Only the first of a series is logged. */
    synchronized void onUnanswered(@Nullable Throwable failure) {
        metrics.count("configuration_confirmations_unanswered", 1);
        unanswered++;
        if (unansweredSince == NONE) {
            unansweredSince = time.nanos();
            Event.of("configuration-unconfirmed")
                    .with("leader", leader.get())
                    .with("confirmed-ms", confirmedAgeMs().orElse(-1))
                    .with("failure", reason(failure))
                    .info(LOG);
        }
    }

    /** Records an answered confirmation. */
    synchronized void onAnswered() {
        if (unansweredSince != NONE) {
            Event.of("configuration-confirmations-regained")
                    .with("leader", leader.get())
                    .with("unanswered", unanswered)
                    .with("silent-ms", millisSince(unansweredSince))
                    .info(LOG);
            unansweredSince = NONE;
            unanswered = 0;
        }
    }

    /** Records that the leader has a newer configuration. Each number is logged once. */
    synchronized void onBehind(long have, long newest) {
        if (newest != behindLogged) {
            behindLogged = newest;
            Event.of("configuration-behind")
                    .with("have", have)
                    .with("newest", newest)
                    .with("leader", leader.get())
                    .info(LOG);
        }
    }

    void onFetchFailed(long have, @Nullable Throwable failure) {
        metrics.count("configuration_fetches_failed", 1);
        Event.of("configuration-fetch-failed")
                .with("have", have)
                .with("leader", leader.get())
                .with("failure", reason(failure))
                .info(LOG);
    }

    /**
     * Records an applied update.
     *
     * @param receivedAt monotonic time at which the update was read from its connection
     * @param sections number of sections of the whole configuration
     */
    void onApplied(ConfigUpdate update, ConfigDelivery delivery, long receivedAt, int sections) {
        long waitedMs = millisSince(receivedAt);
        metrics.recordDuration("configuration_delay", delivery.text(), update.getAgeMs() + waitedMs);
        Event.of("configuration-applied")
                .with("number", update.getNumber())
                .with("base", update.getBase())
                .with("sections", sections)
                .with("delivery", delivery.text())
                .with("leader", leader.get())
                .with("age-ms", update.getAgeMs())
                .with("waited-ms", waitedMs)
                .info(LOG);
    }

    private long millisSince(long nanos) {
        return TimeUnit.NANOSECONDS.toMillis(time.nanos() - nanos);
    }

    private static String reason(@Nullable Throwable failure) {
        return failure == null
                ? "unexpected reply"
                : String.valueOf(Causes.of(failure).getMessage());
    }
}
