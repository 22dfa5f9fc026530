package org.ragwortrun.agent.internal;

import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.jspecify.annotations.Nullable;
import org.ragwortrun.net.Peer;

/** Outlets of all answers by connection and call. */
final class Readers {
    private final Map<Peer, Map<Long, AnswerSubscriber>> byPeer = new HashMap<>();

    AnswerSubscriber open(Peer peer, long call, RunningRequest r, long offset, long credit) {
        AnswerSubscriber reader = new AnswerSubscriber(peer, call, r, offset, credit);
        byPeer.computeIfAbsent(peer, p -> new HashMap<>()).put(call, reader);
        r.answerReaders().add(reader);
        return reader;
    }

    @Nullable
    AnswerSubscriber find(Peer peer, long call) {
        return byPeer.getOrDefault(peer, Map.of()).get(call);
    }

    void close(AnswerSubscriber reader) {
        reader.close();
        reader.request().answerReaders().remove(reader);
        Map<Long, AnswerSubscriber> calls = byPeer.get(reader.peer());
        if (calls != null) {
            calls.remove(reader.call());
            if (calls.isEmpty()) {
                byPeer.remove(reader.peer());
            }
        }
    }

    /** Returns the answerReaders of a connection. */
    Collection<AnswerSubscriber> of(Peer peer) {
        return List.copyOf(byPeer.getOrDefault(peer, Map.of()).values());
    }

    /** Returns the requests that have readers. */
    Set<RunningRequest> requests() {
        Set<RunningRequest> requests = new HashSet<>();
        byPeer.values().forEach(calls -> calls.values().forEach(o -> requests.add(o.request())));
        return requests;
    }

    boolean isEmpty() {
        return byPeer.isEmpty();
    }
}
