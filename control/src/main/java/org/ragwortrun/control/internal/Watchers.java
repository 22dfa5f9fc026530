package org.ragwortrun.control.internal;

import java.util.LinkedHashMap;
import java.util.Map;
import org.ragwortrun.net.Peer;
import org.ragwortrun.net.Replies;
import org.ragwortrun.proto.ConfigUpdate;
import org.ragwortrun.proto.Frame;

/**
 * The connections that receive configuration updates.
 *
 * <p>Updates and heartbeats are sent on the same connection, so a daemon that gets a heartbeat has received every earlier
 * update. Used by one thread.
 */
final class Watchers {
    private static final long NONE = -1;

    private final MetaGroup group;
    private final Map<Peer, Long> sentNumbers = new LinkedHashMap<>();

    Watchers(MetaGroup group) {
        this.group = group;
    }

    /**
     * Adds a connection and replies to its watch request with the changes that it has not received. Does not reply while
     * the same changes wait in its buffer, because copies of a large update would delay it on a slow connection.
     */
    void add(Peer peer, Frame watch) {
        if (sentNumbers.getOrDefault(peer, NONE) >= group.number() && !peer.isWritable()) {
            return;
        }
        send(peer, Replies.to(watch), watch.getWatch().getHaveNumber());
    }

    /** Adds a connection whose daemon has applied the number, unless the connection is already present. */
    void addIfAbsent(Peer peer, long have) {
        sentNumbers.putIfAbsent(peer, have);
    }

    void remove(Peer peer) {
        sentNumbers.remove(peer);
    }

    void clear() {
        sentNumbers.clear();
    }

    /** Sends each connection the changes that it has not received. A connection with a full buffer gets them later. */
    void push() {
        long number = group.number();
        sentNumbers.keySet().removeIf(p -> !p.isOpen());
        for (Map.Entry<Peer, Long> e : Map.copyOf(sentNumbers).entrySet()) {
            if (e.getValue() < number && e.getKey().isWritable()) {
                send(e.getKey(), Frame.newBuilder(), e.getValue());
            }
        }
    }

    private void send(Peer peer, Frame.Builder frame, long have) {
        ConfigUpdate update = group.updateFrom(have);
        if (peer.send(frame.setConfigUpdate(update).build())) {
            sentNumbers.put(peer, update.getNumber());
        }
    }
}
