package org.ragwortrun.router.internal.forward;

import io.netty.channel.Channel;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.ragwortrun.core.log.Event;
import org.ragwortrun.core.metrics.Metrics;

/** Logs and counts what arrives from endpoints and belongs to no waiting request. */
final class ConnectionEvents {
    private static final Logger LOG = LogManager.getLogger(ConnectionEvents.class);

    private final Metrics metrics;

    ConnectionEvents(Metrics metrics) {
        this.metrics = metrics;
    }

    /** Records that an answer to another request was dropped. */
    void onDropped(ConnectionTrace trace, Channel channel, String awaitedId, String answeredId, int status) {
        metrics.count("dropped_answers", 1);
        trace.addTo(Event.of("answer-dropped")
                        .with("id", awaitedId)
                        .withExternal("answered-id", answeredId)
                        .with("status", status)
                        .with("address", String.valueOf(channel.remoteAddress())))
                .info(LOG);
    }

    /** Records that data arrived while no request waited for an answer. */
    void onUnexpected(ConnectionTrace trace, Channel channel) {
        metrics.count("unexpected_endpoint_data", 1);
        trace.addTo(Event.of("unexpected-endpoint-data").with("address", String.valueOf(channel.remoteAddress())))
                .info(LOG);
    }

    /** Counts an answer that was joined with another one. */
    void onJoined() {
        metrics.count("joined_answers", 1);
    }
}
