package org.ragwortrun.router.internal.host;

import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.ragwortrun.core.log.Event;
import org.ragwortrun.core.time.Time;
import org.ragwortrun.net.FrameHandler;
import org.ragwortrun.net.Peer;
import org.ragwortrun.net.Replies;
import org.ragwortrun.proto.Frame;
import org.ragwortrun.proto.WithdrawalReply;
import org.ragwortrun.proto.WithdrawalRequest;
import org.ragwortrun.router.internal.pool.PeerLinks;
import org.ragwortrun.routing.WithdrawalCoordinator;

/** Answers the routers of the own data center that ask to leave the rotation of the load balancer. */
public final class WithdrawalServer implements FrameHandler, Runnable {
    private static final Logger LOG = LogManager.getLogger(WithdrawalServer.class);
    private static final long DENIAL_LINE_NANOS = TimeUnit.SECONDS.toNanos(1);

    private final String ownName;
    private final String dataCenter;
    private final PeerLinks links;
    private final Time time;
    private final WithdrawalCoordinator coordinator = new WithdrawalCoordinator();
    private final AtomicLong nextDenialLineNanos;

    public WithdrawalServer(String ownName, String dataCenter, PeerLinks links, Time time) {
        this.ownName = ownName;
        this.dataCenter = dataCenter;
        this.links = links;
        this.time = time;
        nextDenialLineNanos = new AtomicLong(time.nanos());
    }

    @Override
    public void onFrame(Peer peer, Frame frame) {
        String router = peer.hello().getName();
        WithdrawalReply reply = peer.hello().getDataCenter().equals(dataCenter)
                ? request(router, frame.getWithdrawalRequest())
                : WithdrawalReply.getDefaultInstance();
        peer.send(Replies.to(frame).setWithdrawalReply(reply).build());
    }

    /** Notes whether this router coordinates its data center. Called every second. */
    @Override
    public void run() {
        synchronized (coordinator) {
            updateResponsibility();
        }
    }

    /** Answers a request of another router or of this one. */
    WithdrawalReply request(String router, WithdrawalRequest request) {
        List<String> listed = links.names(dataCenter);
        long nanos = TimeUnit.MILLISECONDS.toNanos(request.getDurationMs());
        WithdrawalCoordinator.Answer answer;
        synchronized (coordinator) {
            updateResponsibility();
            answer = coordinator.request(router, nanos, request.getKnownRouters(), listed, time.nanos());
        }
        if (answer.granted() || denialLineIsDue()) {
            Event.of("withdrawal-decided")
                    .with("router", router)
                    .with("wanted-ms", request.getDurationMs())
                    .with("granted", answer.granted())
                    .with("ms", TimeUnit.NANOSECONDS.toMillis(answer.nanos()))
                    .with("out", answer.out())
                    .with("overloaded", answer.overloaded())
                    .with("known", answer.known())
                    .info(LOG);
        }
        return WithdrawalReply.newBuilder()
                .setGranted(answer.granted())
                .setDurationMs((int) TimeUnit.NANOSECONDS.toMillis(answer.nanos()))
                .build();
    }

    /** Returns whether a denial is logged: at most one a second, because all routers may ask. */
    private boolean denialLineIsDue() {
        long now = time.nanos();
        long due = nextDenialLineNanos.get();
        return now - due >= 0 && nextDenialLineNanos.compareAndSet(due, now + DENIAL_LINE_NANOS);
    }

    private void updateResponsibility() {
        boolean responsible =
                links.hub(dataCenter).filter(h -> h.name().equals(ownName)).isPresent();
        coordinator.setResponsible(responsible, time.nanos());
    }
}
