package org.ragwortrun.control.internal;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.ragwortrun.core.time.Time;
import org.ragwortrun.net.Peer;
import org.ragwortrun.net.Replies;
import org.ragwortrun.proto.Frame;
import org.ragwortrun.proto.PublishReply;

/** Accepted publishes whose callers wait until they are in force. Used by one thread. */
public final class InForceWaiters {
    private static final int MAX_WAITERS = 256;

    private final Time time;
    private final DaemonLeases leases;
    private final List<Waiter> waiters = new ArrayList<>();

    public InForceWaiters(Time time, DaemonLeases leases) {
        this.time = time;
        this.leases = leases;
    }

    /** Replies once the accepted number is in force or the wait time expires, or at once if there are too many waiters. */
    public void add(Peer peer, Frame request, PublishReply accepted) {
        long end = time.nanos()
                + TimeUnit.MILLISECONDS.toNanos(request.getPublish().getWaitMs());
        Waiter waiter = new Waiter(peer, request, accepted, end);
        if (waiters.size() >= MAX_WAITERS || !shouldWait(waiter)) {
            reply(waiter);
        } else {
            waiters.add(waiter);
        }
    }

    /** Replies to the waiters whose number is in force or whose wait time has expired. */
    public void check() {
        for (Iterator<Waiter> i = waiters.iterator(); i.hasNext(); ) {
            Waiter w = i.next();
            if (!shouldWait(w)) {
                i.remove();
                reply(w);
            }
        }
    }

    /** Replies to all waiters that their number is accepted but not known to be in force. Called when leadership ends. */
    public void release() {
        waiters.forEach(w ->
                w.peer.send(Replies.to(w.request).setPublishReply(w.accepted).build()));
        waiters.clear();
    }

    private boolean shouldWait(Waiter w) {
        return w.peer.isOpen() && time.nanos() - w.endNanos < 0 && !leases.inForce(w.accepted.getNumber());
    }

    private void reply(Waiter w) {
        long number = w.accepted.getNumber();
        PublishReply reply = w.accepted.toBuilder()
                .setInForce(leases.inForce(number))
                .addAllAwaitedDaemons(leases.awaitedDaemons(number))
                .build();
        w.peer.send(Replies.to(w.request).setPublishReply(reply).build());
    }

    private record Waiter(Peer peer, Frame request, PublishReply accepted, long endNanos) {}
}
