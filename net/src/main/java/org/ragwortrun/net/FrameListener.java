package org.ragwortrun.net;

import org.ragwortrun.proto.Frame;

/** Receives the replies of an open call on the connection's thread. Must not block. */
public interface FrameListener {
    void onFrame(Frame frame);

    /** The connection ended, or the request was never sent. Nothing follows. */
    void onLost(TransportException cause);
}
