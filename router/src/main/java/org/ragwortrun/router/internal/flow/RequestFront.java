package org.ragwortrun.router.internal.flow;

import java.time.Duration;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.BooleanSupplier;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.jspecify.annotations.Nullable;
import org.ragwortrun.core.concurrent.Duty;
import org.ragwortrun.core.log.Event;
import org.ragwortrun.core.refusal.Refusal;
import org.ragwortrun.core.refusal.RefusalReason;
import org.ragwortrun.core.refusal.RefusedException;
import org.ragwortrun.net.control.ConfigWatch;
import org.ragwortrun.router.internal.request.Admission;
import org.ragwortrun.router.internal.request.AdmittedRequest;
import org.ragwortrun.router.internal.request.CallerRequest;

/** Takes requests from the HTTP front and starts their flows. */
public final class RequestFront {
    private static final Logger LOG = LogManager.getLogger(RequestFront.class);
    private static final Duration RETRY_SOON = Duration.ofSeconds(1);

    private final FlowServices services;
    private final ConfigWatch watch;
    private final Admission admission;
    private final List<Duty> duties;
    private final int maxRequests;
    private final BooleanSupplier healthy;
    private final AtomicInteger active = new AtomicInteger();
    private final AtomicLong ids = new AtomicLong();
    private volatile boolean stopping;

    /**
     * Creates a front.
     *
     * @param duties threads among which the requests are divided; the ring of each has room for all requests
     * @param maxRequests most requests at a time
     * @param healthy whether the shards still know this incarnation
     */
    public RequestFront(
            FlowServices services,
            ConfigWatch watch,
            Admission admission,
            List<Duty> duties,
            int maxRequests,
            BooleanSupplier healthy) {
        this.services = services;
        this.watch = watch;
        this.admission = admission;
        this.duties = List.copyOf(duties);
        this.maxRequests = maxRequests;
        this.healthy = healthy;
    }

    /** Returns an id for a request that has none. */
    public String nextId() {
        return services.settings().incarnation() + "-" + ids.incrementAndGet();
    }

    /**
     * Takes a request that has arrived whole.
     *
     * @param ownId id of the request if the caller sent no key
     * @return what to run when the exchange with the caller has ended
     */
    public Runnable submit(CallerRequest request, CallerResponse response, String ownId) {
        if (active.incrementAndGet() > maxRequests) {
            active.decrementAndGet();
            refuse(
                    response,
                    ownId,
                    Refusal.notRun(
                            RefusalReason.OVERLOADED, "this host runs " + maxRequests + " requests", RETRY_SOON));
            return () -> {};
        }
        Session session = new Session(request, response, ownId);
        session.mailbox.execute(session::admit);
        return () -> session.mailbox.execute(session::ended);
    }

    /** Refuses a request that did not arrive whole. */
    public void refuse(CallerResponse response, String requestId, Refusal refusal) {
        services.metrics().refused(refusal.reason());
        Event.of("request-refused")
                .with("request", requestId)
                .with("reason", refusal.reason().code())
                .with("run", refusal.run().text())
                .info(LOG);
        response.refuse(requestId, refusal);
    }

    /** From now on new requests are refused. */
    public void stop() {
        stopping = true;
    }

    /** Returns the number of requests that have not ended. */
    public int active() {
        return active.get();
    }

    /** Returns whether new requests are taken. */
    public boolean isReady() {
        return !stopping && healthy.getAsBoolean() && watch.inForce().isPresent();
    }

    private Duty duty(String id) {
        return duties.get(Math.floorMod(id.hashCode(), duties.size()));
    }

    /** One request before and during its flow. */
    private final class Session {
        private final CallerRequest request;
        private final CallerResponse response;
        private final String ownId;
        private final Mailbox mailbox;
        private @Nullable RequestFlow flow;

        Session(CallerRequest request, CallerResponse response, String ownId) {
            this.request = request;
            this.response = response;
            this.ownId = ownId;
            mailbox = new Mailbox(duty(ownId));
        }

        void admit() {
            AdmittedRequest admitted;
            try {
                if (stopping) {
                    throw new RefusedException(
                            Refusal.notRun(RefusalReason.STOPPING, "this host takes no new requests", RETRY_SOON));
                }
                admitted = admission.check(request, watch.require(), ownId);
            } catch (RefusedException e) {
                active.decrementAndGet();
                refuse(response, request.idempotencyKey().orElse(ownId), e.refusal());
                return;
            }
            long now = services.time().nanos();
            RequestFlow f = new RequestFlow(services, admitted, response, mailbox, now, active::decrementAndGet);
            flow = f;
            f.start();
        }

        void ended() {
            RequestFlow f = flow;
            if (f != null) {
                f.onExchangeEnded();
            }
        }
    }
}
