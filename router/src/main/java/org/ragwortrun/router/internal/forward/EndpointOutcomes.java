package org.ragwortrun.router.internal.forward;

import org.ragwortrun.routing.RampView;
import org.ragwortrun.routing.WarmUp;

/** Records what attempts show about one endpoint: its health, and signs that it has started or fails. */
final class EndpointOutcomes {
    // Causes of attempts whose connection was lost, in contrast to a false answer.
    private static final String LOST_CONNECTION = "connection-";

    private final EndpointHealth health;
    private final RampView ramp;
    private final Runnable reporter;

    /**
     * Creates a recorder.
     *
     * @param reporter reports the ramp to the endpoint's coordinator
     */
    EndpointOutcomes(EndpointHealth health, RampView ramp, Runnable reporter) {
        this.health = health;
        this.ramp = ramp;
        this.reporter = reporter;
    }

    /** Records that the endpoint was listed for the first time or at another address. */
    void onStarted(long now) {
        ramp.warmUp().onSign(WarmUp.Sign.POSSIBLE, now);
        ramp.onStartOrFailure(now);
    }

    /**
     * Records that no connection could be opened. A refusal shows that the endpoint is down. A time-out may be local: a
     * router whose own link is full would hold all routers to the ramps of sound endpoints.
     */
    void onUnreachable(String cause, long now) {
        health.onUnreachable(now);
        boolean refused = EndpointConnectionPool.REFUSED.equals(cause);
        ramp.warmUp().onSign(refused ? WarmUp.Sign.DOWN : WarmUp.Sign.POSSIBLE, now);
        if (refused) {
            onFailure(now);
        }
    }

    /** Records that an attempt was broken off. Others have to know only of an endpoint that then refuses connections. */
    void onBroken(String cause, long now) {
        health.onFailure(now);
        if (cause.startsWith(LOST_CONNECTION)) {
            ramp.warmUp().onSign(WarmUp.Sign.POSSIBLE, now);
        }
        onFailure(now);
    }

    /** Records a complete answer to a request. */
    void onAnswered(boolean good, long sentNanos, long now) {
        ramp.warmUp().onAnswer(sentNanos, now);
        if (good) {
            health.onSuccess();
            ramp.count(true, now);
        } else {
            health.onFailure(now);
            onFailure(now);
        }
    }

    private void onFailure(long now) {
        if (health.isExcluded()) {
            ramp.onStartOrFailure(now);
        }
        ramp.count(false, now);
        if (health.isExcluded() && ramp.tryReport(now)) {
            reporter.run();
        }
    }
}
