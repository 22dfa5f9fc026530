package org.ragwortrun.router.internal.limits;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.Executor;
import java.util.concurrent.TimeUnit;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import java.util.function.DoubleSupplier;
import java.util.function.IntSupplier;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.jspecify.annotations.Nullable;
import org.ragwortrun.core.log.Event;
import org.ragwortrun.core.metrics.Metrics;
import org.ragwortrun.core.time.Time;
import org.ragwortrun.net.TransportException;
import org.ragwortrun.proto.Frame;
import org.ragwortrun.proto.LimitReport;
import org.ragwortrun.proto.PermitReply;
import org.ragwortrun.proto.PermitRequest;
import org.ragwortrun.router.internal.pool.PeerLinks;
import org.ragwortrun.router.internal.pool.RouterPeer;
import org.ragwortrun.routing.AnswerCounts;
import org.ragwortrun.routing.ColdShares;
import org.ragwortrun.routing.EndpointLimit;
import org.ragwortrun.routing.FallbackPermits;
import org.ragwortrun.routing.LimitStatement;
import org.ragwortrun.routing.RampReport;

/**
 * Gets permits from the coordinator of each endpoint with a limit or a ramp.
 *
 * <p>Requests that arrive while the coordinator is being asked share the next question. A coordinator that does not
 * answer is not asked for a while. If none can be asked, the router uses its share of the limit: an equal part if there
 * is no coordinator at all, and half of that if there may be one that grants permits to others.
 */
public final class PermitClient implements PermitSource {
    private static final Logger LOG = LogManager.getLogger(PermitClient.class);
    // Several times the latency between two hosts of a region; meanwhile a caller waits.
    private static final Duration TIMEOUT = Duration.ofMillis(150);
    // All coordinators have answered or timed out by then, unless an answer was lost.
    private static final long LOST_NANOS = 1_000_000_000L;
    private static final long BACKOFF_NANOS = 1_000_000_000L;
    // A process that was suspended must not use permits that were granted before.
    private static final long MAX_PERMIT_AGE_NANOS = 400_000_000L;
    private static final int MAX_COORDINATORS = 2;

    private final String ownName;
    private final PeerLinks links;
    private final PermitServer ownServer;
    private final BiConsumer<String, LimitStatement> statements;
    private final IntSupplier routers;
    private final Executor loop;
    private final Metrics metrics;
    private final Time time;
    private final FallbackPermits fallback;
    private final Map<String, Waiting> waiting = new HashMap<>();
    private final Map<String, Long> backoffUntilNanos = new HashMap<>();

    /**
     * Creates a client.
     *
     * @param statements receives newer statements about limits that coordinators know
     * @param routers number of routers that share each limit
     * @param loop event loop
     * @param random random numbers from 0 (inclusive) to 1 (exclusive)
     */
    public PermitClient(
            String ownName,
            PeerLinks links,
            PermitServer ownServer,
            BiConsumer<String, LimitStatement> statements,
            IntSupplier routers,
            Executor loop,
            Metrics metrics,
            Time time,
            DoubleSupplier random) {
        this.ownName = ownName;
        this.links = links;
        this.ownServer = ownServer;
        this.statements = statements;
        this.routers = routers;
        this.loop = loop;
        this.metrics = metrics;
        this.time = time;
        fallback = new FallbackPermits(random);
    }

    /** Requests that wait for permits of one endpoint. */
    private static final class Waiting {
        private List<Consumer<Boolean>> requests = new ArrayList<>();
        private boolean asking;
        private long askedNanos;
    }

    /** One question to the coordinators of an endpoint, on behalf of several requests. */
    private record Question(
            String endpoint,
            EndpointLimit limit,
            List<Consumer<Boolean>> requests,
            List<RouterPeer> coordinators,
            boolean anyCoordinator,
            long askedNanos) {}

    @Override
    public void acquire(String endpoint, EndpointLimit limit, Consumer<Boolean> decided) {
        Waiting w = waiting.computeIfAbsent(endpoint, id -> new Waiting());
        w.requests.add(decided);
        boolean lost = w.asking && time.nanos() - w.askedNanos >= LOST_NANOS;
        if (lost) {
            Event.of("limit-question-lost").with("endpoint", endpoint).warn(LOG);
        }
        if (!w.asking || lost) {
            ask(endpoint, limit, w);
        }
    }

    @Override
    public void report(String endpoint, EndpointLimit limit) {
        ask(question(endpoint, limit, List.of()), 0);
    }

    private void ask(String endpoint, EndpointLimit limit, Waiting w) {
        w.asking = true;
        w.askedNanos = time.nanos();
        Question q = question(endpoint, limit, w.requests);
        w.requests = new ArrayList<>();
        ask(q, 0);
    }

    private Question question(String endpoint, EndpointLimit limit, List<Consumer<Boolean>> requests) {
        List<RouterPeer> all = links.coordinators(endpoint);
        long now = time.nanos();
        List<RouterPeer> usable = all.stream()
                .filter(c -> !isBackedOff(c, now))
                .limit(MAX_COORDINATORS)
                .toList();
        return new Question(endpoint, limit, requests, usable, !all.isEmpty(), now);
    }

    private void ask(Question q, int next) {
        if (next >= q.coordinators().size()) {
            useShare(q);
            return;
        }
        RouterPeer coordinator = q.coordinators().get(next);
        PermitRequest request = request(q);
        if (coordinator.name().equals(ownName)) {
            onReply(q, ownServer.grant(request), "own");
            return;
        }
        links.call(coordinator, Frame.newBuilder().setPermitRequest(request), TIMEOUT)
                .whenComplete((reply, failure) -> loop.execute(() -> {
                    if (reply != null && reply.hasPermitReply()) {
                        onReply(q, reply.getPermitReply(), coordinator.name());
                    } else {
                        onSilence(coordinator, failure);
                        ask(q, next + 1);
                    }
                }));
    }

    private PermitRequest request(Question q) {
        PermitRequest.Builder request = PermitRequest.newBuilder()
                .setLimit(message(q))
                .setWanted(q.requests().size());
        q.limit().ramp().report(time.nanos()).ifPresent(r -> {
            AnswerCounts answers = q.limit().ramp().takeCounts();
            request.setRamp(LimitReports.toMessage(q.endpoint(), r))
                    .setGoodAnswers(answers.good())
                    .setBadAnswers(answers.bad());
        });
        return request.build();
    }

    private LimitReport message(Question q) {
        long now = time.nanos();
        return LimitReports.toMessage(q.endpoint(), q.limit().newest().orElse(LimitStatement.unlimited(now, now)), now);
    }

    private void onReply(Question q, PermitReply reply, String coordinator) {
        long now = time.nanos();
        statements.accept(q.endpoint(), LimitReports.toStatement(reply.getLimit(), now));
        Optional<RampReport> ramp = reply.hasRamp() ? LimitReports.toReport(reply.getRamp()) : Optional.empty();
        q.limit().ramp().onReported(ramp, q.askedNanos(), now);
        long maxAge = q.limit().ramp().isCold(now) ? ColdShares.MAX_REPLY_AGE_NANOS : MAX_PERMIT_AGE_NANOS;
        boolean expired = now - q.askedNanos() > maxAge;
        int granted = expired ? 0 : Math.min(reply.getGranted(), q.requests().size());
        decide(q, granted, TimeUnit.MILLISECONDS.toNanos(reply.getWaitMs()), coordinator);
    }

    private void onSilence(RouterPeer coordinator, @Nullable Throwable failure) {
        boolean notSent = failure instanceof TransportException e && e.kind() == TransportException.Kind.NOT_SENT;
        if (!notSent) {
            backoffUntilNanos.put(coordinator.name(), time.nanos() + BACKOFF_NANOS);
            Event.of("limit-coordinator-silent")
                    .with("coordinator", coordinator.name())
                    .info(LOG);
        }
    }

    private boolean isBackedOff(RouterPeer coordinator, long now) {
        Long until = backoffUntilNanos.get(coordinator.name());
        return until != null && until - now > 0;
    }

    private void useShare(Question q) {
        long now = time.nanos();
        if (q.requests().isEmpty()) {
            return;
        }
        FallbackPermits.Granted granted = fallback.take(
                q.endpoint(), q.limit(), q.requests().size(), routers.getAsInt(), q.anyCoordinator(), now);
        decide(q, granted.granted(), granted.waitNanos(), "none");
    }

    private void decide(Question q, int granted, long waitNanos, String coordinator) {
        List<Consumer<Boolean>> requests = q.requests();
        if (requests.isEmpty()) {
            return;
        }
        if (granted < requests.size()) {
            metrics.count("permits_refused", requests.size() - granted);
            q.limit().block(time.nanos() + waitNanos);
            Event.of("endpoint-limit-reached")
                    .with("endpoint", q.endpoint())
                    .with("wanted", requests.size())
                    .with("granted", granted)
                    .with("wait-ms", TimeUnit.NANOSECONDS.toMillis(waitNanos))
                    .with("coordinator", coordinator)
                    .info(LOG);
        }
        Waiting w = waiting.get(q.endpoint());
        if (w != null) {
            w.asking = false;
        }
        for (int i = 0; i < requests.size(); i++) {
            requests.get(i).accept(i < granted);
        }
        askForRest(q, w);
    }

    /** Asks for the requests that arrived in the meantime, or forgets the endpoint if there are none. */
    private void askForRest(Question q, @Nullable Waiting w) {
        if (w == null || w.asking) {
            return;
        }
        if (w.requests.isEmpty()) {
            waiting.remove(q.endpoint(), w);
        } else {
            ask(q.endpoint(), q.limit(), w);
        }
    }
}
