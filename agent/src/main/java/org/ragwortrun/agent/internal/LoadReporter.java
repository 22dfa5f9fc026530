package org.ragwortrun.agent.internal;

import java.util.LinkedHashSet;
import java.util.Set;
import org.jspecify.annotations.Nullable;
import org.ragwortrun.core.time.Time;
import org.ragwortrun.net.Peer;
import org.ragwortrun.proto.Frame;
import org.ragwortrun.proto.LoadReport;

/** Sends the load to all connected routers when it changes, and at least every second. Runs on the request thread. */
final class LoadReporter {
    private static final long MAX_AGE_NANOS = 1_000_000_000L;
    private static final double NANOS_PER_SECOND = 1e9;

    private final RequestDispatcher dispatcher;
    private final Time time;
    private final Set<Peer> routers = new LinkedHashSet<>();
    private @Nullable LoadReport last;
    private long lastNanos;
    private long sequence;
    private long lastTokens;
    private double tokensPerSecond;

    LoadReporter(RequestDispatcher dispatcher, Time time) {
        this.dispatcher = dispatcher;
        this.time = time;
        lastNanos = time.nanos();
    }

    void onConnected(Peer peer) {
        routers.add(peer);
        peer.send(frame(dispatcher.load()));
    }

    void onClosed(Peer peer) {
        routers.remove(peer);
    }

    void tick() {
        long now = time.nanos();
        LoadReport load = dispatcher.load().build();
        if (load.equals(last) && now - lastNanos < MAX_AGE_NANOS) {
            return;
        }
        long tokens = dispatcher.outputTokens();
        if (now > lastNanos) {
            tokensPerSecond = (tokens - lastTokens) * NANOS_PER_SECOND / (now - lastNanos);
        }
        lastTokens = tokens;
        last = load;
        lastNanos = now;
        Frame frame = frame(load.toBuilder());
        routers.removeIf(p -> !p.isOpen());
        routers.forEach(p -> p.send(frame));
    }

    private Frame frame(LoadReport.Builder load) {
        return Frame.newBuilder()
                .setLoadReport(load.setSequence(++sequence).setTokensPerSecond(tokensPerSecond))
                .build();
    }
}
