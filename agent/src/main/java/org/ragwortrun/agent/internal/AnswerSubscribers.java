package org.ragwortrun.agent.internal;

import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.jspecify.annotations.Nullable;
import org.ragwortrun.net.Peer;

/** Subscribers of all answers, by connection and call. */
final class AnswerSubscribers {
    private final Map<Peer, Map<Long, AnswerSubscriber>> byPeer = new HashMap<>();

    AnswerSubscriber open(Peer peer, long call, AcceptedRequest r, long offset, long credit) {
        AnswerSubscriber subscriber = new AnswerSubscriber(peer, call, r, offset, credit);
        byPeer.computeIfAbsent(peer, p -> new HashMap<>()).put(call, subscriber);
        r.subscribers().add(subscriber);
        return subscriber;
    }

    @Nullable
    AnswerSubscriber find(Peer peer, long call) {
        return byPeer.getOrDefault(peer, Map.of()).get(call);
    }

    void close(AnswerSubscriber subscriber) {
        subscriber.close();
        subscriber.request().subscribers().remove(subscriber);
        Map<Long, AnswerSubscriber> calls = byPeer.get(subscriber.peer());
        if (calls != null) {
            calls.remove(subscriber.call());
            if (calls.isEmpty()) {
                byPeer.remove(subscriber.peer());
            }
        }
    }

    /** Returns the subscribers of a connection. */
    Collection<AnswerSubscriber> ofPeer(Peer peer) {
        return List.copyOf(byPeer.getOrDefault(peer, Map.of()).values());
    }

    /** Returns the requests that have subscribers. */
    Set<AcceptedRequest> requests() {
        Set<AcceptedRequest> requests = new HashSet<>();
        byPeer.values().forEach(calls -> calls.values().forEach(s -> requests.add(s.request())));
        return requests;
    }

    boolean isEmpty() {
        return byPeer.isEmpty();
    }
}
