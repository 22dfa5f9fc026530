package org.ragwortrun.router.internal.pool;

import java.util.stream.Stream;
import org.ragwortrun.net.FrameHandler;
import org.ragwortrun.net.Peer;
import org.ragwortrun.proto.Frame;

/**
 * Passes the messages of other routers to the component that answers them.
 *
 * @param reservations handles reservations of tokens
 * @param permits handles requests for permits
 * @param withdrawals handles requests to leave the rotation of the load balancer
 * @param performance handles reports of what routers have learned about endpoints
 * @param routes handles questions about where a request would be sent
 * @param members handles questions about the control members
 */
public record PeerFrames(
        FrameHandler reservations,
        FrameHandler permits,
        FrameHandler withdrawals,
        FrameHandler performance,
        FrameHandler routes,
        FrameHandler members)
        implements FrameHandler {
    @Override
    public void onConnected(Peer peer) {
        all().forEach(h -> h.onConnected(peer));
    }

    @Override
    public void onFrame(Peer peer, Frame frame) {
        receiver(frame).onFrame(peer, frame);
    }

    private FrameHandler receiver(Frame frame) {
        return switch (frame.getBodyCase()) {
            case PERMIT_REQUEST -> permits;
            case WITHDRAWAL_REQUEST -> withdrawals;
            case PERFORMANCE_REPORT -> performance;
            case ROUTE_QUERY -> routes;
            case MEMBERS_QUERY -> members;
            default -> reservations;
        };
    }

    @Override
    public void onClosed(Peer peer) {
        all().forEach(h -> h.onClosed(peer));
    }

    private Stream<FrameHandler> all() {
        return Stream.of(reservations, permits, withdrawals, performance, routes, members);
    }
}
