package org.ragwortrun.router.internal;

import org.jspecify.annotations.Nullable;
import org.ragwortrun.net.FrameHandler;
import org.ragwortrun.net.Peer;
import org.ragwortrun.net.control.ConfigWatch;
import org.ragwortrun.proto.Frame;
import org.ragwortrun.router.internal.ledger.Grants;

/** Passes frames that control members push to their receivers. Drops them until the receivers are set. */
public final class ControlPushes implements FrameHandler {
    private volatile @Nullable ConfigWatch watch;
    private volatile @Nullable Grants grants;

    /** Sets the receivers, which are created after the connections to the control members. */
    public void setReceivers(ConfigWatch configWatch, Grants grantClient) {
        watch = configWatch;
        grants = grantClient;
    }

    @Override
    public void onFrame(Peer peer, Frame frame) {
        ConfigWatch w = watch;
        Grants g = grants;
        if (frame.hasRecall() && g != null) {
            g.recall(frame.getRecall().getBudget());
        } else if ((frame.hasConfigUpdate() || frame.hasHeartbeat()) && w != null) {
            w.onPush(frame);
        }
    }
}
