package org.ragwortrun.net;

import org.ragwortrun.proto.Frame;

/** A call that can receive several replies. */
public interface OpenCall extends AutoCloseable {
    /** Sends a further frame under the same call id. Returns false if the connection is closed. */
    boolean send(Frame.Builder frame);

    /** Ends the call locally. Frames that arrive later are dropped. */
    @Override
    void close();
}
