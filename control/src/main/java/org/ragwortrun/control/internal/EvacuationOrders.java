package org.ragwortrun.control.internal;

import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.jspecify.annotations.Nullable;
import org.ragwortrun.core.log.Event;
import org.ragwortrun.core.time.Time;
import org.ragwortrun.net.Peer;
import org.ragwortrun.net.Replies;
import org.ragwortrun.proto.EvacuationOrder;
import org.ragwortrun.proto.Frame;
import org.ragwortrun.proto.MetaCommand;
import org.ragwortrun.proto.MetaResult;

/** Proposes operators' orders to evacuate data centers, and replies once they are committed. */
final class EvacuationOrders {
    private static final Logger LOG = LogManager.getLogger(EvacuationOrders.class);

    private final Time time;
    private final MetaGroup group;

    EvacuationOrders(Time time, MetaGroup group) {
        this.time = time;
        this.group = group;
    }

    /**
     * Proposes an order unless its sender has given up on it, so that a delayed copy does not undo a newer order.
     *
     * @param arrival time at which the order arrived
     */
    void propose(Peer peer, Frame request, Arrival arrival) {
        EvacuationOrder order = request.getEvacuationOrder();
        long ageMs = arrival.ageMs(time);
        if (order.getValidMs() > 0 && ageMs >= order.getValidMs()) {
            log(order, "expired", group.number(), ageMs);
            peer.send(Replies.error(request, "order-expired", "the sender of the order has given up on it"));
            return;
        }
        group.propose(MetaCommand.newBuilder().setEvacuation(order))
                .whenComplete((result, failure) -> reply(peer, request, result, failure, arrival));
    }

    private void reply(
            Peer peer, Frame request, @Nullable MetaResult result, @Nullable Throwable failure, Arrival arrival) {
        EvacuationOrder order = request.getEvacuationOrder();
        long ageMs = arrival.ageMs(time);
        if (result == null || failure != null) {
            Throwable cause = failure == null ? new IllegalStateException("no result") : failure;
            log(order, "failed", group.number(), ageMs);
            peer.send(FailureReplies.of(request, group, cause));
        } else if (result.hasError()) {
            log(order, result.getError().getType(), group.number(), ageMs);
            peer.send(Replies.to(request).setError(result.getError()).build());
        } else {
            log(order, "accepted", result.getEvacuation().getNumber(), ageMs);
            peer.send(Replies.to(request)
                    .setEvacuationReply(result.getEvacuation())
                    .build());
        }
    }

    private static void log(EvacuationOrder order, String outcome, long number, long ageMs) {
        Event.of("evacuation-ordered")
                .withExternal("data-center", order.getDataCenter())
                .with("begin", order.getBegin())
                .with("outcome", outcome)
                .with("number", number)
                .with("age-ms", ageMs)
                .info(LOG);
    }
}
