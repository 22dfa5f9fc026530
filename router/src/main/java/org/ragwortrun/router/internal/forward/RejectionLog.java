package org.ragwortrun.router.internal.forward;

import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.ragwortrun.core.config.Configuration;
import org.ragwortrun.core.log.Event;
import org.ragwortrun.core.refusal.Refusal;
import org.ragwortrun.core.time.Time;

/**
 * Logs requests that are refused before they can be read.
 *
 * <p>Any caller can cause them without an API key, so the number of lines is limited. Used on the event loop only.
 */
final class RejectionLog {
    private static final Logger LOG = LogManager.getLogger(RejectionLog.class);
    private static final int MAX_LINES_PER_SECOND = 10;
    private static final long SECOND_NANOS = TimeUnit.SECONDS.toNanos(1);

    private final ConfigurationSource configuration;
    private final Time time;
    private long secondStartNanos;
    private int lines;
    private long unlogged;

    RejectionLog(ConfigurationSource configuration, Time time) {
        this.configuration = configuration;
        this.time = time;
        secondStartNanos = time.nanos();
    }

    /** Logs a refusal unless there were too many within a second. */
    void add(Refusal refusal) {
        line(refusal).ifPresent(l -> l.info(LOG));
    }

    /** Returns the line of a refusal, or empty if there were too many within a second. */
    Optional<Event> line(Refusal refusal) {
        long now = time.nanos();
        if (now - secondStartNanos >= SECOND_NANOS) {
            secondStartNanos = now;
            lines = 0;
        }
        if (lines >= MAX_LINES_PER_SECOND) {
            unlogged++;
            return Optional.empty();
        }
        lines++;
        Event line = Event.of("request-rejected")
                .with("status", refusal.reason().status())
                .with("reason", refusal.reason().code())
                .with("config", configuration.get().map(Configuration::number).orElse(0L))
                .with("confirmed-ms", configuration.confirmedAgeMs().orElse(-1))
                .with("unlogged", unlogged);
        unlogged = 0;
        return Optional.of(line);
    }
}
