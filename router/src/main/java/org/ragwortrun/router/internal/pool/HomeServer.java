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
 * Reserves tokens from this router's grants for other routers.
 *
 * <p>A reservation that its router does not end, because the router was lost, expires after the maximum duration of its
 * request, and all its tokens are billed. If the message that ends a reservation arrives before the tokens are reserved,
 * because the requesting router timed out, the reservation is refused.
 */
public final class HomeServer implements FrameHandler, Runnable {
    private static final Logger LOG = LogManager.getLogger(HomeServer.class);
    // Kept beyond the maximum duration of the request, since its router resends the end until it is acknowledged.
    private static final long RETENTION_NANOS = 10_000_000_000L;
    private static final Duration RETRY_AFTER = Duration.ofMillis(50);
    private static final int MAX_ENTRIES = 20_000;

    private final TokenSource tokens;
    private final Time time;
    private final Map<String, Entry> entries = new ConcurrentHashMap<>();
    private volatile boolean stopping;

    /** A reservation, or without one the mark that it has ended. */
    private record Entry(PeerReserve request, Optional<TokenReservation> reservation, long endNanos) {}

    public HomeServer(TokenSource tokens, Time time) {
        this.tokens = tokens;
        this.time = time;
    }

    /** Refuses new reservations, so that routers use the next home. */
    public void stop() {
        stopping = true;
    }

    /** Returns the number of reservations that have not ended. */
    public long open() {
        return entries.values().stream()
                .filter(e -> e.reservation().isPresent())
                .count();
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

    /** Expires reservations that their routers have not ended in time. Called every second. */
    @Override
    public void run() {
        long now = time.nanos();
        entries.forEach((handle, e) -> {
            if (now - e.endNanos() > 0 && entries.remove(handle, e)) {
                e.reservation().ifPresent(s -> expire(e.request(), s));
            }
        });
    }

    private void reserve(Peer peer, Frame frame) {
        PeerReserve request = frame.getPeerReserve();
        if (stopping || entries.size() > MAX_ENTRIES) {
            refuse(peer, frame, Refusal.notRun(RefusalReason.STOPPING, "this home takes no reservations", RETRY_AFTER));
            return;
        }
        Duration maxDuration = Duration.ofMillis(request.getLongestMs());
        tokens.reserve(request.getBudget(), request.getTokens(), request.getRequestId(), maxDuration)
                .whenComplete((reservation, failure) -> {
                    if (reservation == null) {
                        refuse(peer, frame, refusal(failure));
                        return;
                    }
                    long end = time.nanos() + maxDuration.toNanos() + RETENTION_NANOS;
                    Entry entry = new Entry(request, Optional.of(reservation), end);
                    if (entries.putIfAbsent(request.getHandle(), entry) == null) {
                        peer.send(Replies.to(frame)
                                .setPeerReserved(PeerReserved.newBuilder().setGranted(true))
                                .build());
                    } else {
                        // The reservation was ended before it was made, or the request is a duplicate.
                        reservation.release();
                        refuse(
                                peer,
                                frame,
                                Refusal.notRun(
                                        RefusalReason.BUDGET_UNREACHABLE, "the reservation has already been ended"));
                    }
                });
    }

    private void settle(PeerSettle settle) {
        long end = time.nanos() + RETENTION_NANOS;
        Entry ended =
                new Entry(PeerReserve.newBuilder().setHandle(settle.getHandle()).build(), Optional.empty(), end);
        Entry before = entries.put(settle.getHandle(), ended);
        if (before != null) {
            before.reservation().ifPresent(s -> {
                if (settle.hasUsage()) {
                    s.bill(settle.getUsage().toBuilder());
                } else {
                    s.release();
                }
            });
        }
    }

    private static void expire(PeerReserve request, TokenReservation reservation) {
        Event.of("peer-reservation-expired")
                .with("id", request.getRequestId())
                .with("account", request.getBudget().getAccount())
                .with("tokens", request.getTokens())
                .info(LOG);
        reservation.bill(Usage.newBuilder()
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
