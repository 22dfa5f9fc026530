package org.ragwortrun.net;

import org.ragwortrun.proto.Frame;

/** Receives the replies of an open call on the connection's thread. Must not block. */
public interface FrameListener {
    void onFrame(Frame frame);

    /** Called when the connection has ended or the request was not sent. No further frames follow. */
    void onLost(TransportException cause);
}
