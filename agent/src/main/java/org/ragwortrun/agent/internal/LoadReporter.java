package org.ragwortrun.agent.internal;

import java.util.LinkedHashSet;
import java.util.Set;
import org.jspecify.annotations.Nullable;
import org.ragwortrun.core.time.Time;
import org.ragwortrun.net.Peer;
import org.ragwortrun.proto.Frame;
import org.ragwortrun.proto.LoadReport;

/** Pushes the load to all connected routers when it changed, and at least each second. Runs on the request duty. */
final class LoadReporter {
    private static final long MAX_AGE_NANOS = 1_000_000_000L;
    private static final double NANOS_PER_SECOND = 1e9;

    private final RequestDispatcher dispatcher;
    private final Time time;
    private final Set<Peer> routers = new LinkedHashSet<>();
    private @Nullable LoadReport last;
    private long lastAt;
    private long sequence;
    private long tokensBefore;
    private double rate;

    LoadReporter(RequestDispatcher dispatcher, Time time) {
        this.dispatcher = dispatcher;
        this.time = time;
        lastAt = time.nanos();
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
        if (load.equals(last) && now - lastAt < MAX_AGE_NANOS) {
            return;
        }
        long tokens = dispatcher.outputTokens();
        if (now > lastAt) {
            rate = (tokens - tokensBefore) * NANOS_PER_SECOND / (now - lastAt);
        }
        tokensBefore = tokens;
        last = load;
        lastAt = now;
        Frame frame = frame(load.toBuilder());
        routers.removeIf(p -> !p.isOpen());
        routers.forEach(p -> p.send(frame));
    }

    private Frame frame(LoadReport.Builder load) {
        return Frame.newBuilder()
                .setLoadReport(load.setSequence(++sequence).setTokensPerSecond(rate))
                .build();
    }
}
