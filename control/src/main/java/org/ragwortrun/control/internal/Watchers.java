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
 * <p>An update is sent on the connection on which heartbeats are sent, so a daemon that gets a heartbeat has got every
 * update before it. Used by one thread.
 */
final class Watchers {
    private final MetaGroup group;
    private final Map<Peer, Long> sentNumbers = new LinkedHashMap<>();

    Watchers(MetaGroup group) {
        this.group = group;
    }

    /** Adds a connection and answers its watch with what it lacks. */
    void add(Peer peer, Frame watch) {
        send(peer, Replies.to(watch), watch.getWatch().getHaveNumber());
    }

    /** Adds a connection whose daemon has applied a number, unless it is known. */
    void addIfAbsent(Peer peer, long have) {
        sentNumbers.putIfAbsent(peer, have);
    }

    void remove(Peer peer) {
        sentNumbers.remove(peer);
    }

    void clear() {
        sentNumbers.clear();
    }

    /** Sends each connection what it has not got. A connection with a full buffer gets it later. */
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
