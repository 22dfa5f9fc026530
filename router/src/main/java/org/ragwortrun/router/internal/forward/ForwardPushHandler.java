package org.ragwortrun.router.internal.forward;

import io.netty.channel.EventLoop;
import java.util.ArrayList;
import java.util.List;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.jspecify.annotations.Nullable;
import org.ragwortrun.core.config.Configuration;
import org.ragwortrun.core.log.Event;
import org.ragwortrun.net.Address;
import org.ragwortrun.net.AddressException;
import org.ragwortrun.net.FrameHandler;
import org.ragwortrun.net.Peer;
import org.ragwortrun.net.control.ConfigWatch;
import org.ragwortrun.proto.EndpointList;
import org.ragwortrun.proto.Frame;
import org.ragwortrun.proto.RouterAddress;
import org.ragwortrun.router.internal.ControlPushes;
import org.ragwortrun.router.internal.ledger.Grants;
import org.ragwortrun.router.internal.pool.PeerLinks;
import org.ragwortrun.router.internal.pool.RouterPeer;

/** Dispatches the frames that control members push. */
final class ForwardPushHandler implements FrameHandler {
    private static final Logger LOG = LogManager.getLogger(ForwardPushHandler.class);

    private final EventLoop loop;
    private final EndpointTable endpoints;
    private final EvacuationTracker evacuations;
    private final ControlPushes common = new ControlPushes();
    private volatile @Nullable PeerLinks links;
    private volatile Runnable configurationListener = () -> {};

    ForwardPushHandler(EventLoop loop, EndpointTable endpoints, EvacuationTracker evacuations) {
        this.loop = loop;
        this.endpoints = endpoints;
        this.evacuations = evacuations;
    }

    /** Returns the evacuations in the applied configurations. */
    EvacuationTracker evacuations() {
        return evacuations;
    }

    void connect(ConfigWatch configWatch, Grants pool) {
        common.setReceivers(configWatch, pool);
    }

    /** Sets the receiver of the list of routers that accept reservations. */
    void setPeerLinks(PeerLinks receiver) {
        links = receiver;
    }

    /** Sets a task that runs on the event loop after each applied configuration. */
    void setConfigurationListener(Runnable listener) {
        configurationListener = listener;
    }

    void onConfigurationApplied(Configuration configuration) {
        evacuations.apply(configuration);
        loop.execute(configurationListener);
    }

    private void updatePeers(EndpointList list) {
        PeerLinks l = links;
        if (l == null) {
            return;
        }
        List<RouterPeer> peers = new ArrayList<>();
        for (RouterAddress r : list.getPeersList()) {
            try {
                peers.add(new RouterPeer(r.getName(), r.getDataCenter(), Address.parse(r.getAddress())));
            } catch (AddressException e) {
                Event.of("router-address-unreadable")
                        .with("router", r.getName())
                        .warn(LOG, e);
            }
        }
        l.update(peers);
    }

    @Override
    public void onFrame(Peer peer, Frame frame) {
        if (frame.hasEndpointList()) {
            EndpointList list = frame.getEndpointList();
            loop.execute(() -> {
                if (endpoints.apply(list) && !list.getUnchanged()) {
                    updatePeers(list);
                }
            });
        } else {
            common.onFrame(peer, frame);
        }
    }
}
