package org.ragwortrun.router.internal.pool;

import org.ragwortrun.net.FrameHandler;
import org.ragwortrun.net.Peer;
import org.ragwortrun.proto.Frame;

/**
 * Passes the messages of other routers to the component that answers them.
 *
 * @param reservations handles reservations of tokens
 * @param permits handles requests for permits
 * @param performance handles reports of what routers have learned about endpoints
 */
public record PeerFrames(FrameHandler reservations, FrameHandler permits, FrameHandler performance)
        implements FrameHandler {
    @Override
    public void onConnected(Peer peer) {
        reservations.onConnected(peer);
        permits.onConnected(peer);
        performance.onConnected(peer);
    }

    @Override
    public void onFrame(Peer peer, Frame frame) {
        FrameHandler handler =
                frame.hasPermitRequest() ? permits : frame.hasPerformanceReport() ? performance : reservations;
        handler.onFrame(peer, frame);
    }

    @Override
    public void onClosed(Peer peer) {
        reservations.onClosed(peer);
        permits.onClosed(peer);
        performance.onClosed(peer);
    }
}
