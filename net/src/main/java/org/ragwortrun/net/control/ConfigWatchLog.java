package org.ragwortrun.net.control;

import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.jspecify.annotations.Nullable;
import org.ragwortrun.core.concurrent.Causes;
import org.ragwortrun.core.config.ConfigurationException;
import org.ragwortrun.core.id.Digests;
import org.ragwortrun.core.log.Event;
import org.ragwortrun.core.metrics.Metrics;
import org.ragwortrun.core.time.Time;
import org.ragwortrun.proto.ConfigUpdate;
import org.ragwortrun.proto.CrashReport;

/** Logs and measures how a daemon follows the configuration. Used by one thread. */
final class ConfigWatchLog {
    private static final Logger LOG = LogManager.getLogger(ConfigWatch.class);
    private static final long NONE = Long.MIN_VALUE;

    private final Time time;
    private final Metrics metrics;
    private final Supplier<String> leader;
    private long unansweredSince = NONE;
    private long unanswered;

    ConfigWatchLog(Time time, Metrics metrics, Supplier<String> leader) {
        this.time = time;
        this.metrics = metrics;
        this.leader = leader;
    }

    /**
     * Records a call without an answer. Only the first of a series is logged.
     *
     * @param fetch whether the call requested an update
     * @param confirmedAgeMs time since the last answered confirmation was sent
     */
    void onUnanswered(boolean fetch, OptionalLong confirmedAgeMs, @Nullable Throwable failure) {
        metrics.count("configuration_calls_unanswered", 1);
        unanswered++;
        if (unansweredSince == NONE) {
            unansweredSince = time.nanos();
            Event.of("configuration-calls-unanswered")
                    .with("leader", leader.get())
                    .with("fetch", fetch)
                    .with("confirmed-ms", confirmedAgeMs.orElse(-1))
                    .with("failure", reason(failure))
                    .info(LOG);
        }
    }

    /** Records an answered call. */
    void onAnswered() {
        if (unansweredSince != NONE) {
            Event.of("configuration-calls-answered")
                    .with("leader", leader.get())
                    .with("unanswered", unanswered)
                    .with("silent-ms", millisSince(unansweredSince))
                    .info(LOG);
            unansweredSince = NONE;
            unanswered = 0;
        }
    }

    /** Records that a member has named a newer configuration. */
    void onBehind(long have, long newest) {
        Event.of("configuration-behind")
                .with("have", have)
                .with("newest", newest)
                .with("leader", leader.get())
                .info(LOG);
    }

    void onUnreadable(ConfigUpdate update, ConfigurationException failure) {
        Event.of("configuration-unreadable").with("number", update.getNumber()).error(LOG, failure);
    }

    /**
     * Records an applied update.
     *
     * @param receivedAt monotonic time at which the update was read from its connection
     * @param sections number of sections of the whole configuration
     * @param confirmedAgeMs time since the last answered confirmation was sent, which bounds how late the update is
     */
    void onApplied(
            ConfigUpdate update, ConfigDelivery delivery, long receivedAt, int sections, OptionalLong confirmedAgeMs) {
        long waitedMs = millisSince(receivedAt);
        metrics.recordDuration("configuration_delay", delivery.text(), update.getAgeMs() + waitedMs);
        Event.of("configuration-applied")
                .with("number", update.getNumber())
                .with("base", update.getBase())
                .with("version", update.getGeneration())
                .with("sections", sections)
                .with("delivery", delivery.text())
                .with("leader", leader.get())
                .with("age-ms", update.getAgeMs())
                .with("waited-ms", waitedMs)
                .with("confirmed-ms", confirmedAgeMs.orElse(-1))
                .info(LOG);
        update.getSuspectsList().stream()
                .filter(CrashReport::getPart)
                .forEach(r -> Event.of(r.getRefused() ? "part-quarantined" : "part-released")
                        .with("part", Digests.hex(r.getDigest().toByteArray()))
                        .with("crashes", r.getCrashes())
                        .with("companions", r.getCompanionsCount())
                        .info(LOG));
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
