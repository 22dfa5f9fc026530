package org.ragwortrun.router.internal.pool;

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
 */
public record PeerFrames(
        FrameHandler reservations, FrameHandler permits, FrameHandler withdrawals, FrameHandler performance)
        implements FrameHandler {
    @Override
    public void onConnected(Peer peer) {
        reservations.onConnected(peer);
        permits.onConnected(peer);
        withdrawals.onConnected(peer);
        performance.onConnected(peer);
    }

    @Override
    public void onFrame(Peer peer, Frame frame) {
        handler(frame).onFrame(peer, frame);
    }

    @Override
    public void onClosed(Peer peer) {
        reservations.onClosed(peer);
        permits.onClosed(peer);
        withdrawals.onClosed(peer);
        performance.onClosed(peer);
    }

    private FrameHandler handler(Frame frame) {
        if (frame.hasWithdrawalRequest()) {
            return withdrawals;
        }
        if (frame.hasPerformanceReport()) {
            return performance;
        }
        return frame.hasPermitRequest() ? permits : reservations;
    }
}
