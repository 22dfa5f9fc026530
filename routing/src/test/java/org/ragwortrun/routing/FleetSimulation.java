package org.ragwortrun.routing;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.function.LongPredicate;
import java.util.stream.IntStream;

/**
 * Routers of one data center behind a load balancer, with links that carry data in order.
 *
 * <p>The balancer polls each router once a second, removes it after two failures and returns it after one success. It
 * assigns a connection by a hash of the caller, and uses all routers if fewer than half are in rotation. Connections stay
 * with their router until an answer closes them. A refused request is repeated once, at another router. The body of a
 * refused request still passes the link.
 */
final class FleetSimulation {
    static final long MS = 1_000_000L;
    static final long SECOND = 1_000 * MS;

    private static final long INTERVAL = 100 * MS;
    private static final long HUB_DELAY = 3 * MS;
    private static final long SERVICE = 50 * MS;
    private static final long RETRY_AFTER = 50 * MS;

    final List<Result> results = new ArrayList<>();
    final List<Router> routers;
    int mostWithdrawn;
    WithdrawalCoordinator hub = new WithdrawalCoordinator();
    private final boolean decides;
    private final double upload;
    private final double answer;
    private final LongPredicate hubReachable;
    private final Random random;
    private final PriorityQueue<Task> tasks =
            new PriorityQueue<>(Comparator.comparingLong(Task::at).thenComparingLong(Task::order));
    private long order;
    private long now;

    /** Something that happens at a time. */
    private record Task(long at, long order, Runnable action) {}

    /**
     * What a caller got.
     *
     * @param served whether it got an answer
     * @param waitNanos time that its data waited for the link
     * @param nanos time from the first attempt to the end
     */
    record Result(int preferred, long sentNanos, boolean served, long waitNanos, long nanos) {
        boolean inTime(long deadlineNanos) {
            return served && nanos <= deadlineNanos;
        }
    }

    /** A caller that sends requests at random times and prefers the router to which the balancer's hash leads. */
    private record Caller(int preferred, double perSecond, Connection connection) {}

    /** The open connection of a caller, if there is one. */
    private static final class Connection {
        private int router = -1;
    }

    /** A request and what it has waited for so far. */
    private static final class Request {
        private final Caller caller;
        private final long sentNanos;
        private long waitNanos;
        private boolean repeated;

        Request(Caller caller, long sentNanos) {
            this.caller = caller;
            this.sentNanos = sentNanos;
        }
    }

    /** A router and its link in the receiving direction. */
    final class Router {
        final List<Long> readinessChanges = new ArrayList<>();
        long suspendedUntil;
        private final int number;
        private final double link;
        private final HostLoad load;
        private final LoadShedder shedder = new LoadShedder(0);
        private final WithdrawalPolicy policy = new WithdrawalPolicy(0);
        private double queuedBytes;
        private long linkFree;
        private int failedPolls;
        private boolean ready = true;

        Router(int number, double link) {
            this.number = number;
            this.link = link;
            load = new HostLoad(new HostLoad.Capacity(link, 0), new HostLoad.Counters(0, 0, 0), 0);
        }

        boolean isWithdrawn() {
            return policy.isWithdrawn(now);
        }

        boolean isSuspended() {
            return now < suspendedUntil;
        }

        private void tick() {
            if (isSuspended() || !decides) {
                return;
            }
            double waiting = Math.max(0, linkFree - now) * link / SECOND;
            load.sample(new HostLoad.Counters((long) (queuedBytes - waiting), 0, 0), now);
            shedder.update(load.utilization(), now);
            switch (policy.update(shedder.isOverloaded(), load.utilization(), now)) {
                case ASK -> ask(now);
                case RETURN -> callHub(() -> hub.request("r" + number, 0, routers.size(), List.of(), now));
                case NONE, EXPIRED -> {}
            }
            if (ready == isWithdrawn()) {
                ready = !ready;
                readinessChanges.add(now);
            }
        }

        private void ask(long asked) {
            callHub(() -> {
                WithdrawalCoordinator.Answer reply =
                        hub.request("r" + number, policy.leaseNanos(), routers.size(), List.of(), now);
                at(now + HUB_DELAY, () -> policy.onReply(reply.granted(), reply.nanos(), asked, now));
            });
        }

        /** Returns when the link has carried data that is sent now. */
        private long transmit(double bytes) {
            queuedBytes += bytes;
            linkFree = Math.max(now, linkFree) + (long) (bytes / link * SECOND);
            return linkFree;
        }

        private long backlog() {
            return Math.max(0, linkFree - now);
        }
    }

    /**
     * Creates a fleet.
     *
     * @param links bytes per second of each router's link
     * @param upload mean bytes of a request
     * @param answer mean bytes of an answer
     * @param decides whether routers shed load and leave the rotation
     * @param hubReachable whether the hub can be reached at a time
     */
    FleetSimulation(
            double[] links, double upload, double answer, boolean decides, LongPredicate hubReachable, long seed) {
        this.upload = upload;
        this.answer = answer;
        this.decides = decides;
        this.hubReachable = hubReachable;
        random = new Random(seed);
        routers = IntStream.range(0, links.length)
                .mapToObj(i -> new Router(i, links[i]))
                .toList();
        hub.setResponsible(true, 0);
        routers.forEach(r -> {
            every(INTERVAL, random.nextInt((int) INTERVAL), r::tick);
            every(SECOND, random.nextInt((int) SECOND), () -> poll(r));
        });
    }

    /** Adds callers that together send a number of requests per second and prefer the same router. */
    void addCallers(int preferred, int count, double perSecond) {
        for (int i = 0; i < count; i++) {
            Caller c = new Caller(preferred, perSecond / count, new Connection());
            at(pause(c), () -> sendAndRepeat(c));
        }
    }

    void at(long time, Runnable action) {
        tasks.add(new Task(time, order++, action));
    }

    long now() {
        return now;
    }

    void run(long until) {
        while (!tasks.isEmpty() && tasks.peek().at() <= until) {
            runOne(tasks.remove());
        }
        now = until;
    }

    private void runOne(Task t) {
        now = t.at();
        t.action().run();
        mostWithdrawn = Math.max(mostWithdrawn, (int)
                routers.stream().filter(Router::isWithdrawn).count());
    }

    private void every(long interval, long first, Runnable action) {
        at(first, () -> {
            action.run();
            every(interval, now + interval, action);
        });
    }

    private void callHub(Runnable call) {
        if (hubReachable.test(now)) {
            at(now + HUB_DELAY, call);
        }
    }

    private void poll(Router r) {
        r.failedPolls = r.isWithdrawn() || r.isSuspended() ? r.failedPolls + 1 : 0;
    }

    private void sendAndRepeat(Caller c) {
        Connection connection = c.connection();
        if (connection.router < 0) {
            connection.router = assign(c.preferred());
        }
        send(new Request(c, now), routers.get(connection.router));
        at(now + pause(c), () -> sendAndRepeat(c));
    }

    private long pause(Caller c) {
        return (long) (-Math.log(1 - random.nextDouble()) / c.perSecond() * SECOND);
    }

    /** Returns the router to which the balancer assigns a new connection. */
    private int assign(int preferred) {
        List<Router> usable = routers.stream().filter(r -> r.failedPolls < 2).toList();
        if (usable.size() * 2 < routers.size()) {
            usable = routers;
        }
        return usable.stream().anyMatch(r -> r.number == preferred)
                ? preferred
                : usable.get(random.nextInt(usable.size())).number;
    }

    private void send(Request q, Router r) {
        long wait = r.backlog();
        long uploaded = r.transmit(size(upload));
        q.waitNanos += wait;
        at(now + wait, () -> onHead(q, r, uploaded));
    }

    private void onHead(Request q, Router r, long uploaded) {
        if (!decides || r.shedder.accepts(1, "a")) {
            at(Math.max(now, uploaded) + SERVICE, () -> answer(q, r));
            return;
        }
        q.caller.connection().router = -1;
        if (q.repeated) {
            end(q, false);
            return;
        }
        q.repeated = true;
        int other = (r.number + 1 + random.nextInt(routers.size() - 1)) % routers.size();
        at(now + RETRY_AFTER, () -> send(q, routers.get(other)));
    }

    private void answer(Request q, Router r) {
        q.waitNanos += r.backlog();
        at(r.transmit(size(answer)), () -> {
            if (r.policy.closesConnections(now)) {
                q.caller.connection().router = -1;
            }
            end(q, true);
        });
    }

    private double size(double mean) {
        return mean * (0.5 + random.nextDouble());
    }

    private void end(Request q, boolean served) {
        results.add(new Result(q.caller.preferred(), q.sentNanos, served, q.waitNanos, now - q.sentNanos));
    }
}
