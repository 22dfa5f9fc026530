package org.ragwortrun.router.internal.pool;

import org.ragwortrun.net.FrameHandler;
import org.ragwortrun.net.Peer;
import org.ragwortrun.proto.Frame;

/**
 * Passes the messages of other routers to the component that answers them.
 *
 * @param reservations handles reservations of tokens
 * @param permits handles requests for permits
 */
public record PeerFrames(FrameHandler reservations, FrameHandler permits) implements FrameHandler {
    @Override
    public void onConnected(Peer peer) {
        reservations.onConnected(peer);
        permits.onConnected(peer);
    }

    @Override
    public void onFrame(Peer peer, Frame frame) {
        (frame.hasPermitRequest() ? permits : reservations).onFrame(peer, frame);
    }

    @Override
    public void onClosed(Peer peer) {
        reservations.onClosed(peer);
        permits.onClosed(peer);
    }
}
