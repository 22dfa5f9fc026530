package org.ragwortrun.agent.internal;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.util.LinkedHashMap;
import java.util.Map;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.ragwortrun.core.log.Event;
import org.ragwortrun.net.Peer;
import org.ragwortrun.proto.Frame;
import org.ragwortrun.proto.LoadOrder;
import org.ragwortrun.proto.LoadOrderResult;

/**
 * Forwards load orders to the endpoint and refuses outdated ones.
 *
 * <p>The fencing number is also checked here, because some endpoints ignore it. Runs on the request thread.
 */
final class LoadOrderHandler {
    /** Reason for refusing an order whose fencing number is not above the highest one seen. */
    static final String OLD_FENCING = "old-fencing";

    private static final Logger LOG = LogManager.getLogger(LoadOrderHandler.class);
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final int MAX_RESULTS = 256;
    private static final int OK = 200;
    private static final int CONFLICT = 409;

    private final HttpEndpoint endpoint;
    private final TaskQueue executor;
    private final Map<String, LoadOrderResult> results = new LinkedHashMap<>();
    private long highestFencing;
    private String highestId = "";

    LoadOrderHandler(HttpEndpoint endpoint, TaskQueue executor) {
        this.endpoint = endpoint;
        this.executor = executor;
    }

    void onOrder(Peer peer, Frame frame) {
        LoadOrder order = frame.getLoadOrder();
        LoadOrderResult known = results.get(order.getId());
        if (known != null) {
            reply(peer, frame.getCall(), known);
        } else if (order.getFencing() < highestFencing
                || order.getFencing() == highestFencing && !order.getId().equals(highestId)) {
            reply(peer, frame.getCall(), result(order, false, OLD_FENCING));
        } else {
            highestFencing = order.getFencing();
            highestId = order.getId();
            send(peer, frame.getCall(), order);
        }
    }

    private void send(Peer peer, long call, LoadOrder order) {
        Map<String, Object> body = new LinkedHashMap<>();
        body.put("id", order.getId());
        body.put("kind", order.getKind());
        body.put("model", order.getModel());
        body.put("version", order.getVersion());
        body.put("fencing", order.getFencing());
        byte[] json;
        try {
            json = JSON.writeValueAsBytes(body);
        } catch (JsonProcessingException e) {
            Event.of("load-order-unreadable").error(LOG, e);
            return;
        }
        endpoint.call("POST", "/v1/models/load", json)
                .whenComplete((reply, failure) -> executor.offer(() -> onReply(peer, call, order, reply)));
    }

    private void onReply(Peer peer, long call, LoadOrder order, HttpEndpoint.Reply reply) {
        LoadOrderResult result =
                switch (reply.status()) {
                    case OK -> result(order, true, "");
                    case CONFLICT -> result(order, false, OLD_FENCING);
                    case 0 -> result(order, false, "endpoint-failed");
                    default -> result(order, false, "status-" + reply.status());
                };
        Event.of("load-order")
                .with("id", order.getId())
                .with("version", order.getVersion())
                .with("fencing", order.getFencing())
                .with("done", result.getDone())
                .info(LOG);
        if (result.getDone()) {
            results.put(order.getId(), result);
            if (results.size() > MAX_RESULTS) {
                results.remove(results.keySet().iterator().next());
            }
        }
        reply(peer, call, result);
    }

    private static LoadOrderResult result(LoadOrder order, boolean done, String reason) {
        return LoadOrderResult.newBuilder()
                .setId(order.getId())
                .setDone(done)
                .setReason(reason)
                .build();
    }

    private static void reply(Peer peer, long call, LoadOrderResult result) {
        peer.send(Frame.newBuilder().setCall(call).setLoadOrderResult(result).build());
    }
}
