package org.ragwortrun.control.internal;

import java.util.LinkedHashMap;
import java.util.Map;
import org.ragwortrun.net.Peer;
import org.ragwortrun.net.Replies;
import org.ragwortrun.proto.Frame;

/**
 * The connections that receive configuration updates.
 *
 * <p>An update is sent on the connection on which heartbeats are sent, so a daemon that gets a heartbeat has got every
 * update before it. Used by one thread.
 */
public final class Watchers {
    private final ConfigHistory history = new ConfigHistory();
    private final Map<Peer, Sent> watchers = new LinkedHashMap<>();

    /** Adds a connection whose daemon has applied the number. It gets the rest with the next push. */
    public void add(Peer peer, long have) {
        watchers.put(peer, new Sent(have));
    }

    /** Adds a connection and answers its request with what it lacks. */
    public void add(Peer peer, Frame watch, MetaSnapshot snapshot) {
        history.remember(snapshot);
        Sent sent = new Sent(watch.getWatch().getHaveNumber());
        watchers.put(peer, sent);
        sent.send(peer, Replies.to(watch), snapshot);
    }

    public boolean contains(Peer peer) {
        return watchers.containsKey(peer);
    }

    public void remove(Peer peer) {
        watchers.remove(peer);
    }

    public void clear() {
        watchers.clear();
    }

    /** Sends the snapshot to each connection that has not got it. A connection with a full buffer gets it later. */
    public void push(MetaSnapshot snapshot) {
        history.remember(snapshot);
        watchers.keySet().removeIf(p -> !p.isOpen());
        watchers.forEach((peer, sent) -> {
            if (sent.isOlderThan(snapshot) && peer.isWritable()) {
                sent.send(peer, Frame.newBuilder(), snapshot);
            }
        });
    }

    /** What a connection has got. */
    private final class Sent {
        private long number;
        private MetaSnapshot snapshot = MetaSnapshot.EMPTY;
        private boolean any;

        Sent(long number) {
            this.number = number;
        }

        @SuppressWarnings({"ReferenceEquality", "PMD.CompareObjectsWithEquals"}) // a snapshot is compared by identity
        boolean isOlderThan(MetaSnapshot current) {
            return !any || snapshot != current;
        }

        void send(Peer peer, Frame.Builder frame, MetaSnapshot current) {
            if (peer.send(frame.setConfigUpdate(history.update(number, current)).build())) {
                number = current.number();
                snapshot = current;
                any = true;
            }
        }
    }
}
