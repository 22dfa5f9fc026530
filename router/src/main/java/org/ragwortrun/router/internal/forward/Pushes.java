package org.ragwortrun.router.internal.forward;

import io.netty.channel.EventLoop;
import org.jspecify.annotations.Nullable;
import org.ragwortrun.net.FrameHandler;
import org.ragwortrun.net.Peer;
import org.ragwortrun.net.control.ConfigWatch;
import org.ragwortrun.proto.Frame;
import org.ragwortrun.router.internal.ledger.Grants;

/** Hands frames that control members push to their receivers. */
final class Pushes implements FrameHandler {
    private final EventLoop loop;
    private final EndpointTable endpoints;
    private volatile @Nullable ConfigWatch watch;
    private volatile @Nullable Grants grants;

    Pushes(EventLoop loop, EndpointTable endpoints) {
        this.loop = loop;
        this.endpoints = endpoints;
    }

    void connect(ConfigWatch configWatch, Grants pool) {
        watch = configWatch;
        grants = pool;
    }

    @Override
    public void onFrame(Peer peer, Frame frame) {
        ConfigWatch w = watch;
        Grants g = grants;
        if (frame.hasRecall() && g != null) {
            g.recall(frame.getRecall().getBudget());
        } else if (frame.hasConfigUpdate() && w != null) {
            w.onPush(frame);
        } else if (frame.hasEndpointList()) {
            loop.execute(() -> endpoints.apply(frame.getEndpointList()));
        }
    }
}
