package org.ragwortrun.router.internal.forward;

import io.netty.channel.EventLoop;
import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLongArray;
import java.util.function.DoubleSupplier;
import java.util.function.Predicate;
import org.jspecify.annotations.Nullable;
import org.ragwortrun.core.config.Origin;
import org.ragwortrun.core.metrics.Metrics;
import org.ragwortrun.core.refusal.RefusalReason;
import org.ragwortrun.core.time.Time;
import org.ragwortrun.routing.AdmissionQueue;
import org.ragwortrun.routing.AdmissionQueue.Entry;
import org.ragwortrun.routing.AdmissionQueue.Place;
import org.ragwortrun.routing.RetryAfterPolicy;
import org.ragwortrun.routing.RetryAfterPolicy.Backlog;
import org.ragwortrun.routing.ReturningCallers;
import org.ragwortrun.routing.WaitLimit;

/**
 * Decides which waiting request is sent when an endpoint has room, and which are refused.
 *
 * <p>Requests are considered when an attempt ends, when a request arrives, and at a short interval while any waits, so
 * that a connection that is released, a new list, a configuration or the end of a pause is noticed without an event of
 * its own. Used on the event loop only.
 */
final class RequestScheduler {
    private static final long MS = 1_000_000;
    private static final long POLL_NANOS = 20 * MS;
    // Requests at the head of the queue that are examined for one free place; they may differ in what they fit.
    private static final int EXAMINED = 4;
    private static final int MAX_SENT_AT_ONCE = 64;
    private static final Duration RETRY_ELSEWHERE = Duration.ofMillis(50);
    private static final int PRIORITIES = 3;
    // Callers honor Retry-After up to a third of their remaining time.
    private static final int HONORED_DIVISOR = 3;
    // Far more than a configuration has; origins of earlier configurations are discarded.
    private static final int MAX_ORIGINS = 256;

    private final boolean enabled;
    private final EndpointTable endpoints;
    private final Metrics metrics;
    private final Time time;
    private final EventLoop loop;
    private final RetryAfterPolicy retryAfter;
    private final ReturningCallers callers = new ReturningCallers();
    private final Map<String, OriginQueue> origins = new HashMap<>();
    private final AtomicLongArray depths = new AtomicLongArray(PRIORITIES);
    private final AtomicLongArray ages = new AtomicLongArray(PRIORITIES);
    // Set while the router stops.
    private @Nullable Predicate<RequestWait> admission;
    private boolean considering;
    private boolean polling;
    private boolean scheduled;

    /**
     * Creates a scheduler.
     *
     * @param enabled whether requests wait; otherwise all methods have no effect
     */
    RequestScheduler(
            boolean enabled,
            EndpointTable endpoints,
            Metrics metrics,
            Time time,
            EventLoop loop,
            DoubleSupplier random) {
        this.enabled = enabled;
        this.endpoints = endpoints;
        this.metrics = metrics;
        this.time = time;
        this.loop = loop;
        retryAfter = new RetryAfterPolicy(random);
        if (enabled) {
            for (int p = 0; p < PRIORITIES; p++) {
                int priority = p;
                metrics.gauge("waiting_requests_" + p, "Waiting requests of this priority", () -> depths.get(priority));
                metrics.gauge(
                        "waiting_age_ms_" + p, "Age of the oldest of them in milliseconds", () -> ages.get(priority));
            }
        }
    }

    boolean isEnabled() {
        return enabled;
    }

    boolean isReturning(String account, String target) {
        return enabled && callers.isReturning(account, target, time.nanos());
    }

    boolean hasWaiting(String origin) {
        OriginQueue q = enabled ? origins.get(origin) : null;
        return q != null && !q.queue().isEmpty();
    }

    /** Returns whether this router may send one more request to an endpoint that has rejected some as full. */
    boolean hasRoom(EndpointState endpoint, Origin origin, long now) {
        if (!enabled) {
            return true;
        }
        return origin.model()
                ? endpoint.window().isOpen(now)
                : endpoint.window().hasRoom(endpoint.inFlight(), now);
    }

    void onAnswered(EndpointState endpoint, Admitted admitted, long durationNanos) {
        if (enabled) {
            endpoint.window().onAnswered(time.nanos());
            queue(admitted.origin().name()).onAnswered(admitted.route().name(), durationNanos);
        }
    }

    void onRejected(EndpointState endpoint, long sentNanos) {
        if (enabled) {
            endpoint.window().onRejected(endpoint.inFlight(), sentNanos, time.nanos());
        }
    }

    /** Considers the waiting requests soon, because an attempt has ended. */
    void onAttemptEnded(EndpointState endpoint, Origin origin) {
        if (hasWaiting(origin.name())) {
            if (!endpoint.limit().isLimited()) {
                queue(origin.name()).onAttemptEnded();
            }
            if (!scheduled) {
                scheduled = true;
                loop.execute(this::considerAll);
            }
        }
    }

    /** Queues a request, or gives it up at once if it could not be sent in time. */
    void enqueue(RequestWait wait, String cause) {
        long now = time.nanos();
        OriginQueue q = queue(wait.admitted().origin().name());
        q.update(now);
        long left = wait.deadlineNanos() - now;
        EndpointSelector.Choice choice = wait.sender().choose();
        if (choice.endpoint().isEmpty()) {
            q.onNoRoom(choice, now);
        }
        int ahead = ahead(q, wait);
        double perSecond = q.perSecond(running(wait));
        wait.onDecision(ahead, perSecond);
        double expected =
                Math.max((ahead + 1) / perSecond * TimeUnit.SECONDS.toNanos(1), (double) (q.closedUntilNanos() - now));
        if (choice.allowed() == 0 || !isAdmitted(wait)) {
            giveUp(wait, choice.allowed() == 0 ? RefusalReason.NO_ENDPOINT : RefusalReason.STOPPING, cause);
            return;
        }
        OptionalLong limit = WaitLimit.accept(left, usualNanos(q, wait), expected);
        if (limit.isEmpty() || wait.isOverdue(now)) {
            giveUp(wait, RefusalReason.WAIT_TOO_LONG, cause);
            return;
        }
        wait.onEntered(q.queue()
                .add(
                        wait,
                        new Place(
                                wait.account(),
                                wait.admitted().priority(),
                                wait.goesFirst(),
                                wait.deadlineNanos(),
                                wait.latestStart(now + limit.getAsLong()),
                                wait.bytes(),
                                1),
                        now));
        giveUp(q.queue().displace(), RefusalReason.QUEUE_FULL);
        poll();
        // Examining only the new request bounds the work of an arrival while there is no room.
        if (!considering && choice.endpoint().isPresent()) {
            consider(q);
            Entry<RequestWait> entry = wait.entry();
            if (entry != null) {
                sendOrGiveUp(q, entry);
            }
        }
    }

    /** Returns whether an endpoint may accept a request before it would have to be given up. */
    boolean mayHaveRoomInTime(RequestWait wait, EndpointSelector.Choice choice) {
        long now = time.nanos();
        OriginQueue q = queue(wait.admitted().origin().name());
        q.onNoRoom(choice, now);
        long closedNanos = Math.max(0, q.closedUntilNanos() - now);
        return choice.allowed() > 0
                && WaitLimit.accept(wait.deadlineNanos() - now, usualNanos(q, wait), closedNanos)
                        .isPresent();
    }

    private static int ahead(OriginQueue q, RequestWait wait) {
        return q.queue().ahead(wait.account(), wait.admitted().priority(), wait.goesFirst(), wait.deadlineNanos());
    }

    private static long usualNanos(OriginQueue q, RequestWait wait) {
        return q.usualNanos(wait.admitted().route().name());
    }

    /** Removes a request whose exchange has ended. */
    void remove(RequestWait wait) {
        Entry<RequestWait> entry = wait.entry();
        if (entry != null) {
            long now = time.nanos();
            OriginQueue q = queue(wait.admitted().origin().name());
            q.update(now);
            q.queue().remove(entry);
            wait.onLeft(now);
        }
    }

    /**
     * Applies a rule of a router that stops to the waiting requests, now and before each is sent. Those that could not
     * end in time are refused, so that they are served elsewhere.
     */
    void limitAdmission(Predicate<RequestWait> rule) {
        admission = rule;
        considerAll();
    }

    /** Returns a time to retry, at most a third of what remains to the caller. */
    Duration atMostHonored(RequestWait wait, Duration after) {
        long honored = Math.max(0, wait.deadlineNanos() - time.nanos()) / HONORED_DIVISOR;
        return after.toNanos() > honored ? Duration.ofNanos(honored) : after;
    }

    /** Returns when the caller of a request that is given up should retry, and remembers it. */
    Duration retryAfter(RequestWait wait) {
        long now = time.nanos();
        OriginQueue q = queue(wait.admitted().origin().name());
        q.update(now);
        int ahead = ahead(q, wait);
        double perSecond = q.perSecond(running(wait));
        wait.onDecision(ahead, perSecond);
        Duration after = retryAfter.retryAfter(
                new Backlog(ahead, callers.count(now), perSecond),
                wait.deadlineNanos() - now,
                hasRoomForOthers(wait.admitted().origin()));
        callers.onRefused(wait.account(), wait.target(), now + after.toNanos());
        return after;
    }

    /**
     * Returns whether an endpoint reports free slots, so that only this router's share of its connections is used up and
     * another router can probably send the request.
     */
    private boolean hasRoomForOthers(Origin origin) {
        long now = time.nanos();
        return endpoints.eligible(origin).stream()
                .anyMatch(s -> s.isUsable(now)
                        && hasRoom(s, origin, now)
                        && s.listed().getRunning() + s.listed().getWaiting() < slots(s, origin));
    }

    private static int slots(EndpointState s, Origin origin) {
        return origin.slots() > 0 ? origin.slots() : s.listed().getSlots();
    }

    private int running(RequestWait wait) {
        return endpoints.eligible(wait.admitted().origin()).stream()
                .mapToInt(EndpointState::inFlight)
                .sum();
    }

    private OriginQueue queue(String origin) {
        if (origins.size() > MAX_ORIGINS) {
            origins.values().removeIf(q -> q.queue().isEmpty());
        }
        return origins.computeIfAbsent(origin, o -> new OriginQueue(time.nanos()));
    }

    private void considerAll() {
        scheduled = false;
        List.copyOf(origins.values()).forEach(this::consider);
        observe();
    }

    /** Refuses the requests that can no longer be served, and sends the first ones that fit. */
    private void consider(OriginQueue q) {
        if (considering) {
            return;
        }
        considering = true;
        try {
            long now = time.nanos();
            q.update(now);
            giveUp(q.queue().expire(now), RefusalReason.WAIT_TOO_LONG);
            giveUp(removeDenied(q.queue()), RefusalReason.STOPPING);
            int sent = 0;
            while (sent < MAX_SENT_AT_ONCE && sendFirst(q)) {
                sent++;
            }
        } finally {
            considering = false;
        }
    }

    private boolean isAdmitted(RequestWait wait) {
        Predicate<RequestWait> rule = admission;
        return rule == null || rule.test(wait);
    }

    private List<Entry<RequestWait>> removeDenied(AdmissionQueue<RequestWait> queue) {
        if (admission == null) {
            return List.of();
        }
        List<Entry<RequestWait>> denied =
                queue.all().stream().filter(e -> !isAdmitted(e.item())).toList();
        denied.forEach(queue::remove);
        return denied;
    }

    private boolean sendFirst(OriginQueue q) {
        for (Entry<RequestWait> e : q.queue().first(EXAMINED)) {
            if (e.isQueued() && sendOrGiveUp(q, e)) {
                return true;
            }
        }
        return false;
    }

    /** Sends a request if an endpoint is available, and refuses it if none can be. Returns whether it left the queue. */
    private boolean sendOrGiveUp(OriginQueue q, Entry<RequestWait> entry) {
        RequestWait wait = entry.item();
        EndpointSelector.Choice choice = wait.sender().choose();
        long now = time.nanos();
        q.update(now);
        if (choice.allowed() == 0) {
            q.queue().remove(entry);
            giveUp(List.of(entry), RefusalReason.NO_ENDPOINT);
            return true;
        }
        if (choice.endpoint().isEmpty()) {
            q.onNoRoom(choice, now);
            return false;
        }
        EndpointState endpoint = choice.endpoint().get();
        if (!endpoint.limit().isLimited() && !q.tryTake(endpoint.inFlight() == 0)) {
            return false;
        }
        q.queue().serve(entry);
        q.onServed();
        metrics.recordDuration("queue_wait_ms", "sent", (now - entry.enteredNanos()) / MS);
        wait.onLeft(now);
        wait.sender().sendAfterWait(endpoint, choice.lastResort());
        return true;
    }

    private void giveUp(List<Entry<RequestWait>> removed, RefusalReason reason) {
        long now = time.nanos();
        for (Entry<RequestWait> e : removed) {
            metrics.recordDuration("queue_wait_ms", reason.code(), (now - e.enteredNanos()) / MS);
            e.item().onLeft(now);
            giveUp(e.item(), reason, reason.code());
        }
    }

    private void giveUp(RequestWait wait, RefusalReason reason, String cause) {
        wait.sender()
                .giveUp(
                        reason,
                        cause,
                        switch (reason) {
                            case STOPPING -> RETRY_ELSEWHERE;
                            case NO_ENDPOINT -> ExchangeRefusals.RETRY_AFTER;
                            default -> retryAfter(wait);
                        });
    }

    /** Considers the waiting requests at an interval until none is left. */
    private void poll() {
        if (!polling && origins.values().stream().anyMatch(q -> !q.queue().isEmpty())) {
            polling = true;
            loop.schedule(
                    () -> {
                        polling = false;
                        considerAll();
                        poll();
                    },
                    POLL_NANOS,
                    TimeUnit.NANOSECONDS);
        }
    }

    private void observe() {
        long now = time.nanos();
        for (int p = 0; p < PRIORITIES; p++) {
            int depth = 0;
            long age = 0;
            for (OriginQueue q : origins.values()) {
                depth += q.queue().size(p);
                age = Math.max(age, now - q.queue().oldestNanos(p).orElse(now));
            }
            depths.set(p, depth);
            ages.set(p, age / MS);
        }
    }
}
