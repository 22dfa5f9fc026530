package org.ragwortrun.router.internal.forward;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.ragwortrun.core.config.Origin;
import org.ragwortrun.routing.OriginPerformance;

/**
 * Learns from one attempt how its endpoint answers, and measures the latency that is used to compare versions.
 *
 * <p>Only successful answers count, because an endpoint that fails early answers fast. Used on the event loop.
 */
final class AnswerObserver {
    private final AnswerLatency latency;
    private final PerformanceTable table;
    private final EndpointState endpoint;
    private final Origin origin;
    private final long sentNanos;
    private final double tokens;
    private long firstEventNanos;
    private int firstEvents;
    private boolean gapKnown;

    /**
     * Creates the observer of an attempt.
     *
     * @param parts parts of the prompt
     * @param sentNanos time at which the request is sent
     */
    AnswerObserver(
            AnswerLatency latency,
            PerformanceTable table,
            EndpointState endpoint,
            Origin origin,
            List<PromptPart> parts,
            long sentNanos) {
        this.latency = latency;
        this.table = table;
        this.endpoint = endpoint;
        this.origin = origin;
        this.sentNanos = sentNanos;
        long uncached = -endpoint.prefixCache().cachedTokens(parts);
        for (PromptPart p : parts) {
            uncached += p.tokens();
        }
        tokens = (double) endpoint.pendingTokens() + Math.max(0, uncached);
    }

    /**
     * Records how many events have arrived so far. Returns the latency for the comparison of versions once, when it is
     * known.
     */
    Optional<Duration> onEvents(int events, long now) {
        if (table.isEnabled()) {
            learnFromEvents(events, now);
        }
        return latency.onEvents(events, now);
    }

    /**
     * Records the end of the answer. Returns the latency for the comparison of versions if it was not known before.
     *
     * @param success whether the endpoint has done what was requested
     */
    Optional<Duration> onEnd(long now, boolean success) {
        if (table.isEnabled() && success && firstEvents == 0) {
            performance().onAnswer(endpoint.performance(), tokens, now - sentNanos, now);
            logChange(now);
        }
        return latency.onEnd(now);
    }

    private void learnFromEvents(int events, long now) {
        if (events <= 0) {
            return;
        }
        if (firstEvents == 0) {
            firstEvents = events;
            firstEventNanos = now;
            performance().onFirstEvent(endpoint.performance(), tokens, now - sentNanos, now);
            logChange(now);
        } else if (!gapKnown && events - firstEvents >= AnswerLatency.EVENT_INTERVALS) {
            gapKnown = true;
            performance().onGap(endpoint.performance(), (now - firstEventNanos) / (events - firstEvents), now);
        }
    }

    private void logChange(long now) {
        table.logChange(endpoint, origin.name(), (now - sentNanos) / 1e6, tokens, now);
    }

    private OriginPerformance performance() {
        return table.of(origin.name());
    }
}
