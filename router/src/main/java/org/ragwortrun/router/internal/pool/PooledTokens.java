package org.ragwortrun.router.internal.pool;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicLong;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.jspecify.annotations.Nullable;
import org.ragwortrun.core.log.Event;
import org.ragwortrun.core.refusal.Refusal;
import org.ragwortrun.core.refusal.RefusalReason;
import org.ragwortrun.core.refusal.RefusedException;
import org.ragwortrun.core.time.Time;
import org.ragwortrun.net.TransportException;
import org.ragwortrun.proto.BudgetRef;
import org.ragwortrun.proto.Frame;
import org.ragwortrun.proto.PeerReserve;
import org.ragwortrun.proto.PeerReserved;
import org.ragwortrun.proto.PeerSettle;
import org.ragwortrun.proto.Usage;

/**
 * Reserves tokens at the home of a client account, or from this router's grants if there is no home.
 *
 * <p>A home that does not answer is not used for a while. It may have made the reservation, so it is told to end it
 * before the next home is used. Bills are reported through the home, since they are charged to its grant.
 */
public final class PooledTokens implements TokenSource {
    private static final Logger LOG = LogManager.getLogger(PooledTokens.class);
    // Longer than a home waits for tokens, so that a home without tokens is not mistaken for one that does not answer.
    private static final Duration RESERVE_TIMEOUT = Duration.ofMillis(550);
    private static final Duration SETTLE_TIMEOUT = Duration.ofMillis(600);
    private static final long SETTLE_RETRY_DELAY_MS = 200;
    // After this many attempts, the reservation has expired at the home.
    private static final int MAX_SETTLE_ATTEMPTS = 24;
    private static final long HOME_BACKOFF_NANOS = 1_000_000_000L;
    // The preferred home and the one that replaces it.
    private static final int MAX_HOMES = 2;

    private final String ownName;
    private final String incarnation;
    private final TokenSource local;
    private final PeerLinks links;
    private final ScheduledExecutorService timer;
    private final Time time;
    private final AtomicLong handles = new AtomicLong();
    private final Map<String, Long> backoffUntilNanos = new ConcurrentHashMap<>();

    /**
     * Creates a token source.
     *
     * @param ownName name of this router
     * @param incarnation incarnation of this process, which prefixes the handles of reservations
     * @param local source that reserves from the grants of this router
     */
    public PooledTokens(
            String ownName,
            String incarnation,
            TokenSource local,
            PeerLinks links,
            ScheduledExecutorService timer,
            Time time) {
        this.ownName = ownName;
        this.incarnation = incarnation;
        this.local = local;
        this.links = links;
        this.timer = timer;
        this.time = time;
    }

    @Override
    public CompletableFuture<TokenReservation> reserve(
            BudgetRef budget, long tokens, String requestId, Duration maxDuration) {
        PeerReserve request = PeerReserve.newBuilder()
                .setBudget(budget)
                .setTokens(tokens)
                .setRequestId(requestId)
                .setLongestMs((int) Math.min(Integer.MAX_VALUE, maxDuration.toMillis()))
                .build();
        List<RouterPeer> homes = links.homes(budget.getAccount()).stream()
                .limit(MAX_HOMES)
                .filter(h -> !isBackedOff(h))
                .toList();
        return reserve(request, homes, 0);
    }

    private CompletableFuture<TokenReservation> reserve(PeerReserve request, List<RouterPeer> homes, int next) {
        if (next >= homes.size() || homes.get(next).name().equals(ownName)) {
            return local.reserve(
                    request.getBudget(),
                    request.getTokens(),
                    request.getRequestId(),
                    Duration.ofMillis(request.getLongestMs()));
        }
        RouterPeer home = homes.get(next);
        String handle = incarnation + '/' + handles.incrementAndGet();
        Frame.Builder frame =
                Frame.newBuilder().setPeerReserve(request.toBuilder().setHandle(handle));
        return links.call(home, frame, RESERVE_TIMEOUT)
                .handle((reply, failure) -> onReply(request, homes, next, handle, reply, failure))
                .thenCompose(f -> f);
    }

    private CompletableFuture<TokenReservation> onReply(
            PeerReserve request,
            List<RouterPeer> homes,
            int next,
            String handle,
            @Nullable Frame reply,
            @Nullable Throwable failure) {
        RouterPeer home = homes.get(next);
        if (reply != null && reply.hasPeerReserved()) {
            PeerReserved answer = reply.getPeerReserved();
            if (answer.getGranted()) {
                return CompletableFuture.completedFuture(new HomeReservation(home, handle));
            }
            if (!RefusalReason.STOPPING.code().equals(answer.getReason())) {
                return CompletableFuture.failedFuture(new RefusedException(refusal(answer)));
            }
        } else if (!isNotSent(failure)) {
            backoffUntilNanos.put(home.name(), time.nanos() + HOME_BACKOFF_NANOS);
            Event.of("home-silent")
                    .with("home", home.name())
                    .with("account", request.getBudget().getAccount())
                    .info(LOG);
            end(home, PeerSettle.newBuilder().setHandle(handle).build(), MAX_SETTLE_ATTEMPTS);
        }
        return reserve(request, homes, next + 1);
    }

    private boolean isBackedOff(RouterPeer home) {
        Long until = backoffUntilNanos.get(home.name());
        return until != null && until - time.nanos() > 0;
    }

    private static boolean isNotSent(@Nullable Throwable failure) {
        return failure instanceof TransportException e && e.kind() == TransportException.Kind.NOT_SENT;
    }

    private static Refusal refusal(PeerReserved answer) {
        RefusalReason reason = RefusalReason.ofCode(answer.getReason()).orElse(RefusalReason.BUDGET_UNREACHABLE);
        return answer.getRetryAfterMs() == 0
                ? Refusal.notRun(reason, answer.getDetail())
                : Refusal.notRun(reason, answer.getDetail(), Duration.ofMillis(answer.getRetryAfterMs()));
    }

    /** Tells a home that a reservation has ended. Retries until it answers or the reservation has expired there. */
    private void end(RouterPeer home, PeerSettle settle, int attempts) {
        links.call(home, Frame.newBuilder().setPeerSettle(settle), SETTLE_TIMEOUT)
                .whenComplete((reply, failure) -> {
                    if ((reply == null || !reply.hasPeerSettled()) && !timer.isShutdown()) {
                        if (attempts > 1) {
                            timer.schedule(
                                    () -> end(home, settle, attempts - 1),
                                    SETTLE_RETRY_DELAY_MS,
                                    TimeUnit.MILLISECONDS);
                        } else {
                            Event.of("peer-reservation-left")
                                    .with("home", home.name())
                                    .with("handle", settle.getHandle())
                                    .warn(LOG);
                        }
                    }
                });
    }

    /** A reservation at a home. */
    private final class HomeReservation implements TokenReservation {
        private final RouterPeer home;
        private final String handle;
        private final AtomicBoolean ended = new AtomicBoolean();

        HomeReservation(RouterPeer home, String handle) {
            this.home = home;
            this.handle = handle;
        }

        @Override
        public void bill(Usage.Builder usage) {
            end(Optional.of(usage.build()));
        }

        @Override
        public void release() {
            end(Optional.empty());
        }

        private void end(Optional<Usage> usage) {
            if (ended.compareAndSet(false, true)) {
                PeerSettle.Builder settle = PeerSettle.newBuilder().setHandle(handle);
                usage.ifPresent(settle::setUsage);
                PooledTokens.this.end(home, settle.build(), MAX_SETTLE_ATTEMPTS);
            }
        }
    }
}
