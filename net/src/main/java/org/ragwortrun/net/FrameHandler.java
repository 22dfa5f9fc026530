package org.ragwortrun.net;

import org.ragwortrun.proto.Frame;

/** Receives requests and one-way frames of peers on the connection's thread. Must not block. */
public interface FrameHandler {
    /** Called when the peer has sent its {@code Hello}. */
    default void onConnected(Peer peer) {}

    void onFrame(Peer peer, Frame frame);

    default void onClosed(Peer peer) {}
}
