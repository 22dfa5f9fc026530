package org.ragwortrun.routing;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.function.Predicate;
import org.ragwortrun.routing.AdmissionQueue.Entry;
import org.ragwortrun.routing.AdmissionQueue.Place;
import org.ragwortrun.routing.RetryAfterPolicy.Backlog;

/**
 * Replays a load at some routers and the plain endpoints that they share, either with admission queues or with the
 * previous decision logic, which tries four endpoints and refuses at once.
 */
final class QueueSimulation {
    static final long MS = 1_000_000;
    private static final int MAX_TRIES = 4;
    private static final long FIXED_RETRY_AFTER = 400 * MS;
    private static final long HOP_NANOS = MS / 2;
    private static final long POLL_NANOS = 20 * MS;

    private final Setup setup;
    private final boolean queueing;
    private final Random random;
    private final PriorityQueue<Event> events =
            new PriorityQueue<>(Comparator.<Event>comparingLong(e -> e.nanos).thenComparingLong(e -> e.sequence));
    private final List<Endpoint> endpoints = new ArrayList<>();
    private final List<Router> routers = new ArrayList<>();
    final List<Call> calls = new ArrayList<>();
    private long now;
    private long sequence;
    long rejections;
    int maxWaiting;

    /**
     * The simulated service.
     *
     * @param connections requests of one router in flight at one endpoint
     * @param queue requests that wait at an endpoint before it rejects others
     */
    record Setup(int routers, int endpoints, int slots, int queue, int connections, long workNanos) {}

    private record Event(long nanos, long sequence, Runnable task) {}

    /** One request of a caller, with its retries. */
    static final class Call {
        final String account;
        final int priority;
        final long arrivedNanos;
        final long deadlineNanos;
        final boolean patient;
        int retries;
        int tries;
        boolean returning;
        long answeredNanos = -1;
        long refusedNanos = -1;

        Call(String account, int priority, long arrivedNanos, long deadlineNanos, boolean patient) {
            this.account = account;
            this.priority = priority;
            this.arrivedNanos = arrivedNanos;
            this.deadlineNanos = deadlineNanos;
            this.patient = patient;
            retries = patient ? 1 : 6;
        }

        boolean inTime() {
            return answeredNanos >= 0 && answeredNanos <= deadlineNanos;
        }

        boolean within(long nanos) {
            return answeredNanos >= 0 && answeredNanos - arrivedNanos <= nanos;
        }
    }

    private final class Endpoint {
        private final Deque<Runnable> waiting = new ArrayDeque<>();
        private double slowness = 1;
        private int running;

        /** Runs a request or queues it. Returns whether there was room. */
        boolean offer(Runnable done) {
            if (running >= setup.slots && waiting.size() >= setup.queue) {
                return false;
            }
            waiting.add(done);
            startNext();
            return true;
        }

        private void startNext() {
            if (running < setup.slots && !waiting.isEmpty()) {
                Runnable done = waiting.remove();
                running++;
                // Between half and one and a half of the mean.
                at(now + (long) (setup.workNanos * slowness * (0.5 + random.nextDouble())), () -> {
                    running--;
                    done.run();
                    startNext();
                });
            }
        }
    }

    private final class Router {
        private final int[] inFlight = new int[setup.endpoints];
        private final EndpointWindow[] windows = new EndpointWindow[setup.endpoints];
        private final AdmissionQueue<Call> queue = new AdmissionQueue<>(1_024, 8 << 20);
        private final DrainRate drain = new DrainRate(0);
        private final RetryAfterPolicy policy = new RetryAfterPolicy(random::nextDouble);
        private final ReturningCallers returning = new ReturningCallers();
        private final Map<Call, List<Integer>> rejectedBy = new HashMap<>();

        Router() {
            for (int e = 0; e < windows.length; e++) {
                windows[e] = new EndpointWindow();
            }
        }

        void arrive(Call c) {
            c.tries = 0;
            if (queueing) {
                c.returning = returning.isReturning(c.account, "/" + c.priority, now);
                if (!queue.isEmpty()) {
                    enqueue(c);
                    return;
                }
            }
            send(c);
        }

        private void send(Call c) {
            int endpoint = choose(c);
            if (endpoint >= 0) {
                send(c, endpoint);
            } else if (queueing) {
                enqueue(c);
            } else {
                refuse(c);
            }
        }

        private int choose(Call c) {
            List<Integer> tried = rejectedBy.getOrDefault(c, List.of());
            int best = -1;
            int start = random.nextInt(setup.endpoints);
            for (int i = 0; i < setup.endpoints; i++) {
                int e = (start + i) % setup.endpoints;
                boolean fits = !tried.contains(e)
                        && inFlight[e] < setup.connections
                        && (!queueing || windows[e].hasRoom(inFlight[e], now));
                if (fits && (best < 0 || inFlight[e] < inFlight[best])) {
                    best = e;
                }
            }
            return best;
        }

        private void send(Call c, int e) {
            c.tries++;
            inFlight[e]++;
            long sent = now;
            at(now + HOP_NANOS, () -> {
                boolean taken = endpoints
                        .get(e)
                        .offer(() -> at(now + HOP_NANOS, () -> {
                            inFlight[e]--;
                            windows[e].onAnswered(now);
                            c.answeredNanos = now;
                            rejectedBy.remove(c);
                            drain();
                        }));
                if (!taken) {
                    rejections++;
                    at(now + HOP_NANOS, () -> onRejected(c, e, sent));
                }
            });
        }

        private void onRejected(Call c, int e, long sent) {
            inFlight[e]--;
            windows[e].onRejected(inFlight[e], sent, now);
            rejectedBy.computeIfAbsent(c, x -> new ArrayList<>()).add(e);
            if (c.tries < MAX_TRIES) {
                send(c);
            } else if (queueing) {
                enqueue(c);
            } else {
                refuse(c);
            }
        }

        private void enqueue(Call c) {
            rejectedBy.remove(c);
            drain.update(!queue.isEmpty(), now);
            int ahead = queue.ahead(c.account, c.priority, c.returning, c.deadlineNanos);
            double expected = (ahead + 1) / perSecond() * 1e9;
            OptionalLong limit = WaitLimit.accept(c.deadlineNanos - now, setup.workNanos, expected);
            if (limit.isEmpty()) {
                refuse(c);
                return;
            }
            boolean first = c.returning || c.tries > 0;
            c.tries = 0;
            queue.add(
                    c,
                    new Place(c.account, c.priority, first, c.deadlineNanos, now + limit.getAsLong(), 1_000, 1),
                    now);
            queue.displace().forEach(d -> refuse(d.item()));
            maxWaiting = Math.max(maxWaiting, queue.size());
            drain();
        }

        private double perSecond() {
            int running = 0;
            for (int n : inFlight) {
                running += n;
            }
            return drain.perSecond(running, setup.workNanos);
        }

        private void drain() {
            if (!queueing) {
                return;
            }
            drain.update(!queue.isEmpty(), now);
            queue.expire(now).forEach(e -> refuse(e.item()));
            while (!queue.isEmpty()) {
                Entry<Call> first = queue.first(1).get(0);
                int endpoint = choose(first.item());
                if (endpoint < 0) {
                    return;
                }
                queue.serve(first);
                drain.onServed();
                send(first.item(), endpoint);
            }
        }

        private void poll(long endNanos) {
            drain();
            if (now < endNanos) {
                at(now + POLL_NANOS, () -> poll(endNanos));
            }
        }

        private void refuse(Call c) {
            rejectedBy.remove(c);
            if (c.refusedNanos < 0) {
                c.refusedNanos = now;
            }
            long after = FIXED_RETRY_AFTER;
            if (queueing) {
                drain.update(!queue.isEmpty(), now);
                Backlog backlog = new Backlog(
                        queue.ahead(c.account, c.priority, c.returning, c.deadlineNanos),
                        returning.count(now),
                        perSecond());
                Duration told = policy.retryAfter(backlog, c.deadlineNanos - now, false);
                after = told.toNanos();
                returning.onRefused(c.account, "/" + c.priority, now + after);
            }
            after = c.patient ? Math.min(after, (c.deadlineNanos - now) / 3) : 10 * MS;
            if (c.retries-- > 0 && now + after < c.deadlineNanos) {
                at(
                        now + after,
                        () -> routers.get(random.nextInt(routers.size())).arrive(c));
            }
        }
    }

    QueueSimulation(Setup setup, boolean queueing, long seed) {
        this.setup = setup;
        this.queueing = queueing;
        random = new Random(seed);
        for (int e = 0; e < setup.endpoints; e++) {
            endpoints.add(new Endpoint());
        }
        for (int r = 0; r < setup.routers; r++) {
            routers.add(new Router());
        }
    }

    private void at(long nanos, Runnable task) {
        events.add(new Event(nanos, sequence++, task));
    }

    /** Adds a request that arrives at a random router. */
    void call(String account, int priority, long atNanos, long deadlineNanos, boolean patient) {
        Call c = new Call(account, priority, atNanos, atNanos + deadlineNanos, patient);
        calls.add(c);
        int router = Math.floorMod(calls.size() * 7, routers.size());
        at(atNanos, () -> routers.get(router).arrive(c));
    }

    /** Makes an endpoint slower from a time on. */
    void slow(int endpoint, double factor, long atNanos) {
        at(atNanos, () -> endpoints.get(endpoint).slowness = factor);
    }

    QueueSimulation run() {
        long end = calls.stream().mapToLong(c -> c.deadlineNanos).max().orElse(0);
        routers.forEach(r -> at(0, () -> r.poll(end)));
        for (Event e = events.poll(); e != null; e = events.poll()) {
            now = e.nanos();
            e.task().run();
        }
        return this;
    }

    /** Returns the share of some calls that have a property. */
    double share(Predicate<Call> of, Predicate<Call> property) {
        List<Call> some = calls.stream().filter(of).toList();
        return some.stream().filter(property).count() / (double) Math.max(1, some.size());
    }
}
