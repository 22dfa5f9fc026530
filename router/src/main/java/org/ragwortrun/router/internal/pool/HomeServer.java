package org.ragwortrun.router.internal.pool;

import java.time.Duration;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.ragwortrun.core.concurrent.Causes;
import org.ragwortrun.core.log.Event;
import org.ragwortrun.core.refusal.Refusal;
import org.ragwortrun.core.refusal.RefusalReason;
import org.ragwortrun.core.refusal.RefusedException;
import org.ragwortrun.core.time.Time;
import org.ragwortrun.net.FrameHandler;
import org.ragwortrun.net.Peer;
import org.ragwortrun.net.Replies;
import org.ragwortrun.proto.Frame;
import org.ragwortrun.proto.PeerReserve;
import org.ragwortrun.proto.PeerReserved;
import org.ragwortrun.proto.PeerSettle;
import org.ragwortrun.proto.PeerSettled;
import org.ragwortrun.proto.Usage;

/**
 * Takes reservations of other routers out of this router's grants.
 *
 * <p>A reservation that its router does not end, because it was lost, ends by itself after the longest time of its
 * request, and all of it counts as used. An end that arrives before the reservation, since the asking router did not wait
 * for the answer, stops the reservation from being made.
 */
public final class HomeServer implements FrameHandler, Runnable {
    private static final Logger LOG = LogManager.getLogger(HomeServer.class);
    // Beyond the time of the request: its router repeats the end until it is answered.
    private static final long EXTRA_NANOS = 10_000_000_000L;
    private static final Duration RETRY_AFTER = Duration.ofMillis(50);
    private static final int MOST_HELD = 20_000;

    private final TokenSource tokens;
    private final Time time;
    private final Map<String, Held> held = new ConcurrentHashMap<>();
    private volatile boolean stopping;

    /** A reservation, or the note that it has ended. */
    private record Held(PeerReserve request, Optional<Spending> spending, long endNanos) {}

    public HomeServer(TokenSource tokens, Time time) {
        this.tokens = tokens;
        this.time = time;
    }

    /** Takes no more reservations, so that routers turn to the next home. */
    public void stop() {
        stopping = true;
    }

    /** Returns the reservations that have not ended. */
    public long open() {
        return held.values().stream().filter(h -> h.spending().isPresent()).count();
    }

    @Override
    public void onFrame(Peer peer, Frame frame) {
        if (frame.hasPeerReserve()) {
            reserve(peer, frame);
        } else if (frame.hasPeerSettle()) {
            settle(frame.getPeerSettle());
            peer.send(Replies.to(frame)
                    .setPeerSettled(PeerSettled.getDefaultInstance())
                    .build());
        } else if (frame.getCall() != 0) {
            peer.send(Replies.error(frame, "unknown-message", frame.getBodyCase() + " is not for a router"));
        }
    }

    /** Ends reservations whose routers have not done so in time. To be called every second. */
    @Override
    public void run() {
        long now = time.nanos();
        held.forEach((handle, h) -> {
            if (now - h.endNanos() > 0 && held.remove(handle, h)) {
                h.spending().ifPresent(s -> expire(h.request(), s));
            }
        });
    }

    private void reserve(Peer peer, Frame frame) {
        PeerReserve request = frame.getPeerReserve();
        if (stopping || held.size() > MOST_HELD) {
            refuse(peer, frame, Refusal.notRun(RefusalReason.STOPPING, "this home takes no reservations", RETRY_AFTER));
            return;
        }
        Duration longest = Duration.ofMillis(request.getLongestMs());
        tokens.reserve(request.getBudget(), request.getTokens(), request.getRequestId(), longest)
                .whenComplete((spending, failure) -> {
                    if (spending == null) {
                        refuse(peer, frame, refusal(failure));
                        return;
                    }
                    long end = time.nanos() + longest.toNanos() + EXTRA_NANOS;
                    Held now = new Held(request, Optional.of(spending), end);
                    if (held.putIfAbsent(request.getHandle(), now) == null) {
                        peer.send(Replies.to(frame)
                                .setPeerReserved(PeerReserved.newBuilder().setGranted(true))
                                .build());
                    } else {
                        // It was ended before it was made, or is a copy.
                        spending.release();
                        refuse(peer, frame, Refusal.notRun(RefusalReason.BUDGET_UNREACHABLE, "ended before"));
                    }
                });
    }

    private void settle(PeerSettle settle) {
        long end = time.nanos() + EXTRA_NANOS;
        Held ended =
                new Held(PeerReserve.newBuilder().setHandle(settle.getHandle()).build(), Optional.empty(), end);
        Held before = held.put(settle.getHandle(), ended);
        if (before != null) {
            before.spending().ifPresent(s -> {
                if (settle.hasUsage()) {
                    s.bill(settle.getUsage().toBuilder());
                } else {
                    s.release();
                }
            });
        }
    }

    private static void expire(PeerReserve request, Spending spending) {
        Event.of("peer-reservation-expired")
                .with("id", request.getRequestId())
                .with("account", request.getBudget().getAccount())
                .with("tokens", request.getTokens())
                .info(LOG);
        spending.bill(Usage.newBuilder()
                .setBudget(request.getBudget())
                .setRequestId(request.getRequestId())
                .setTokens(request.getTokens()));
    }

    private static Refusal refusal(Throwable failure) {
        return Causes.of(failure) instanceof RefusedException e
                ? e.refusal()
                : Refusal.notRun(RefusalReason.BUDGET_UNREACHABLE, "the home cannot reserve", RETRY_AFTER);
    }

    private static void refuse(Peer peer, Frame frame, Refusal refusal) {
        peer.send(Replies.to(frame)
                .setPeerReserved(PeerReserved.newBuilder()
                        .setReason(refusal.reason().code())
                        .setDetail(refusal.detail())
                        .setRetryAfterMs((int) refusal.retryAfter()
                                .map(Duration::toMillis)
                                .orElse(0L)
                                .longValue()))
                .build());
    }
}
