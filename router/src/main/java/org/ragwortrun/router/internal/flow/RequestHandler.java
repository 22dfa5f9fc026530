package org.ragwortrun.router.internal.flow;

import java.time.Duration;
import java.util.EnumSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.BooleanSupplier;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.jspecify.annotations.Nullable;
import org.ragwortrun.core.concurrent.SingleThreadExecutor;
import org.ragwortrun.core.config.Configuration;
import org.ragwortrun.core.log.Event;
import org.ragwortrun.core.refusal.Refusal;
import org.ragwortrun.core.refusal.RefusalReason;
import org.ragwortrun.core.refusal.RefusedException;
import org.ragwortrun.net.control.ConfigWatch;
import org.ragwortrun.router.internal.DenialRule;
import org.ragwortrun.router.internal.request.Admission;
import org.ragwortrun.router.internal.request.AdmittedRequest;
import org.ragwortrun.router.internal.request.CallerRequest;

/** Accepts requests from the HTTP server, admits them and starts their flows. */
public final class RequestHandler {
    private static final Logger LOG = LogManager.getLogger(RequestHandler.class);
    private static final Duration RETRY_DELAY = Duration.ofSeconds(1);
    // A change is in force everywhere within this time, which is shorter than the lease.
    private static final Duration DENIAL_AGE = Duration.ofSeconds(2);
    private static final Set<RefusalReason> DENIALS = EnumSet.of(
            RefusalReason.UNKNOWN_KEY,
            RefusalReason.UNKNOWN_ROUTE,
            RefusalReason.ID_MISSING,
            RefusalReason.ID_WITHOUT_TIME);

    private final FlowServices services;
    private final ConfigWatch watch;
    private final Admission admission;
    private final DenialRule denials;
    private final List<SingleThreadExecutor> duties;
    private final int maxRequests;
    private final BooleanSupplier healthy;
    private final AtomicInteger active = new AtomicInteger();
    private final AtomicLong ids = new AtomicLong();
    private final Set<Session> sessions = ConcurrentHashMap.newKeySet();
    private volatile boolean stopping;

    /**
     * Creates a handler.
     *
     * @param duties threads among which the requests are distributed; the queue of each has room for all requests
     * @param maxRequests maximum number of concurrent requests
     * @param healthy whether the shards still recognize this incarnation
     */
    public RequestHandler(
            FlowServices services,
            ConfigWatch watch,
            Admission admission,
            List<SingleThreadExecutor> duties,
            int maxRequests,
            BooleanSupplier healthy) {
        this.services = services;
        this.watch = watch;
        this.admission = admission;
        denials = new DenialRule(c -> watch.isConfirmedWithin(DENIAL_AGE, c), RETRY_DELAY);
        this.duties = List.copyOf(duties);
        this.maxRequests = maxRequests;
        this.healthy = healthy;
    }

    /** Generates a request id for a request without an Idempotency-Key. */
    public String nextId() {
        return services.settings().incarnation() + "-" + ids.incrementAndGet();
    }

    /**
     * Accepts a request that has been received completely.
     *
     * @param generatedId id of the request if the caller sent no key
     * @return task to run when the exchange with the caller has ended
     */
    public Runnable submit(CallerRequest request, CallerResponse response, String generatedId) {
        if (active.incrementAndGet() > maxRequests) {
            active.decrementAndGet();
            refuse(
                    response,
                    generatedId,
                    Refusal.notRun(
                            RefusalReason.OVERLOADED,
                            "this host already runs " + maxRequests + " requests",
                            RETRY_DELAY));
            return () -> {};
        }
        Session session = new Session(request, response, generatedId);
        session.mailbox.execute(session::admit);
        return () -> session.mailbox.execute(session::onExchangeEnded);
    }

    /** Refuses a request that was not received completely. */
    public void refuse(CallerResponse response, String requestId, Refusal refusal) {
        services.metrics().refused(refusal.reason());
        Event.of("request-refused")
                .with("request", requestId)
                .with("reason", refusal.reason().code())
                .with("run", refusal.run().text())
                .info(LOG);
        response.refuse(requestId, refusal);
    }

    /** Stops accepting requests. New requests are refused. */
    public void stop() {
        stopping = true;
    }

    /** Answers the requests that still run, because this host stops. */
    public void interruptAll() {
        sessions.forEach(s -> s.mailbox.execute(s::interrupt));
    }

    /** Returns the number of requests that have not ended. */
    public int active() {
        return active.get();
    }

    /** Returns whether new requests are accepted. */
    public boolean isReady() {
        return !stopping && healthy.getAsBoolean() && watch.inForce().isPresent();
    }

    /** Returns a refusal that is not final instead of a denial by a configuration that may not be the newest. */
    private Refusal confirmed(Configuration used, Refusal refusal) {
        return DENIALS.contains(refusal.reason()) ? denials.refusal(used, refusal) : refusal;
    }

    private SingleThreadExecutor duty(String id) {
        return duties.get(Math.floorMod(id.hashCode(), duties.size()));
    }

    /** One request, from admission to the end of its flow. */
    private final class Session {
        private final CallerRequest request;
        private final CallerResponse response;
        private final String generatedId;
        private final Mailbox mailbox;
        private @Nullable RequestFlow flow;

        Session(CallerRequest request, CallerResponse response, String generatedId) {
            this.request = request;
            this.response = response;
            this.generatedId = generatedId;
            mailbox = new Mailbox(duty(generatedId));
        }

        void admit() {
            AdmittedRequest admitted;
            try {
                if (stopping) {
                    throw new RefusedException(
                            Refusal.notRun(RefusalReason.STOPPING, "this host accepts no new requests", RETRY_DELAY));
                }
                admitted = check(watch.require());
            } catch (RefusedException e) {
                active.decrementAndGet();
                refuse(response, request.idempotencyKey().orElse(generatedId), e.refusal());
                return;
            }
            long now = services.time().nanos();
            RequestFlow f = new RequestFlow(services, admitted, response, mailbox, now, this::onDone);
            flow = f;
            sessions.add(this);
            f.start();
        }

        private AdmittedRequest check(Configuration used) throws RefusedException {
            try {
                return admission.check(request, used, generatedId);
            } catch (RefusedException e) {
                throw new RefusedException(confirmed(used, e.refusal()), e);
            }
        }

        private void onDone() {
            sessions.remove(this);
            active.decrementAndGet();
        }

        void interrupt() {
            RequestFlow f = flow;
            if (f != null) {
                f.interrupt();
            }
        }

        void onExchangeEnded() {
            RequestFlow f = flow;
            if (f != null) {
                f.onExchangeEnded();
            }
        }
    }
}
