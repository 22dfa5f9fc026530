package org.ragwortrun.measure.budgets;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import org.apache.commons.rng.UniformRandomProvider;
import org.ragwortrun.ledger.GrantPool;
import org.ragwortrun.ledger.PoolSettings;
import org.ragwortrun.ledger.Reservation;
import org.ragwortrun.ledger.ReserveResult;
import org.ragwortrun.proto.BudgetRef;
import org.ragwortrun.proto.Claim;
import org.ragwortrun.proto.ClaimResult;
import org.ragwortrun.proto.GrantResult;
import org.ragwortrun.proto.OpenSession;
import org.ragwortrun.proto.ReduceGrants;
import org.ragwortrun.proto.RequestGrant;
import org.ragwortrun.proto.SettleBatch;
import org.ragwortrun.proto.ShardCommand;
import org.ragwortrun.proto.ShardResult;
import org.ragwortrun.proto.Usage;

/** One lifetime of a router process. */
final class RouterModel {
    private static final long MILLI = 1_000;
    private static final long TICK = 100 * MILLI;
    private static final long LEASE = 3_000 * MILLI;
    private static final long HELD_WAIT = 100 * MILLI;
    private static final long HELD_FIRST_PAUSE = 4 * MILLI;
    private static final long UNREACHABLE_WAIT = 2_000 * MILLI;
    private static final long CLAIM_WAIT = 2_000 * MILLI;
    private static final long DISPATCH_WAIT = 5_000 * MILLI;
    private static final long FLUSH = 50 * MILLI;
    private static final long RESEND = 500 * MILLI;

    private final int dataCenter;
    private final String incarnation;
    private final EventQueue queue;
    private final Links links;
    private final OwnerModel owner;
    private final UniformRandomProvider random;
    private final Outcomes outcomes;
    private final GroundTruth truth;
    private final List<AgentModel> agents;
    private final GrantPool pool;
    private final Map<BudgetRef, List<Waiter>> waiters = new LinkedHashMap<>();
    private final Map<String, Long> askSent = new HashMap<>();
    private final Map<String, Usage> unsettled = new LinkedHashMap<>();
    private final Map<String, Call> inFlight = new LinkedHashMap<>();
    private boolean alive = true;
    private boolean open;
    private long leaseUntil = -1;
    private long diedAtMicros;
    private long ticks;

    RouterModel(
            String name, int life, int dataCenter, Simulation simulation, PoolSettings settings, Outcomes outcomes) {
        this.dataCenter = dataCenter;
        this.incarnation = name + "@" + life;
        this.queue = simulation.queue();
        this.links = simulation.links();
        this.owner = simulation.owner();
        this.agents = simulation.agents();
        this.random = simulation.random();
        this.outcomes = outcomes;
        this.truth = simulation.truth();
        this.pool = new GrantPool(incarnation, queue, settings);
        tick();
    }

    String incarnation() {
        return incarnation;
    }

    int dataCenter() {
        return dataCenter;
    }

    boolean isAlive() {
        return alive;
    }

    /** Tells since when the process has been able to serve; the largest number if it cannot. */
    boolean isReady() {
        return alive && open && queue.micros() <= leaseUntil;
    }

    /** Ends the process at once and returns the calls whose connections broke. */
    List<Call> die() {
        alive = false;
        diedAtMicros = queue.micros();
        return List.copyOf(inFlight.values());
    }

    void serve(Call call, boolean counts) {
        if (!isReady()) {
            refuse(call, counts, "configuration-lease-expired");
            return;
        }
        inFlight.put(call.id(), call);
        Waiter w = new Waiter(call, counts, queue.micros());
        reserve(w, true);
    }

    private void refuse(Call call, boolean counts, String reason) {
        inFlight.remove(call.id());
        if (counts) {
            outcomes.refused(call, reason);
        }
    }

    private void reserve(Waiter w, boolean first) {
        BudgetRef budget = w.call.budget();
        ReserveResult result = first ? pool.reserve(budget, w.call.worst()) : pool.retryReserve(budget, w.call.worst());
        if (result instanceof ReserveResult.Reserved r) {
            pool.refill(budget).ifPresent(this::ask);
            proceed(w, r.reservation());
        } else if (result instanceof ReserveResult.GrantNeeded more) {
            more.returns().ifPresent(this::giveBack);
            waiters.computeIfAbsent(budget, b -> new ArrayList<>()).add(w);
            more.request().ifPresent(this::ask);
        }
    }

    private void ask(RequestGrant ask) {
        askSent.put(ask.getGrantId(), queue.micros());
        call(ShardCommand.newBuilder().setRequestGrant(ask).build(), r -> granted(ask, r.getGrant()));
    }

    private void granted(RequestGrant ask, GrantResult result) {
        if (askSent.remove(ask.getGrantId()) == null) {
            return;
        }
        pool.applyGrantResult(ask, result).ifPresent(this::giveBack);
        List<Waiter> all = waiters.remove(ask.getBudget());
        if (all == null) {
            return;
        }
        boolean held = result.getOutcome() == GrantResult.Outcome.HELD;
        boolean spent = !held && result.getOutcome() != GrantResult.Outcome.GRANTED;
        for (Waiter w : all) {
            boolean concerned = ask.getMinimum() > 0 && w.call.worst() >= ask.getMinimum();
            if (spent && concerned || held && concerned && queue.micros() - w.sinceMicros > HELD_WAIT) {
                refuse(w.call, w.counts, "budget-spent");
            } else if (held && concerned) {
                queue.after(w.nextPause(), () -> again(w));
            } else {
                reserve(w, false);
            }
        }
    }

    private void again(Waiter w) {
        if (alive) {
            reserve(w, false);
        }
    }

    private void giveBack(ReduceGrants reduce) {
        call(ShardCommand.newBuilder().setReduceGrants(reduce).build(), r -> pool.acknowledgeReturns(reduce));
    }

    void recall(BudgetRef budget) {
        if (alive) {
            pool.recall(budget).ifPresent(this::giveBack);
        }
    }

    private void proceed(Waiter w, Reservation reservation) {
        truth.reserve(w.call.id() + '#' + reservation.grantId(), w.call.budget(), reservation.tokens());
        List<AgentModel> reachable = agents.stream()
                .filter(a -> links.connected(dataCenter, a.dataCenter()))
                .toList();
        AgentModel agent = reachable.get(random.nextInt(reachable.size()));
        if (w.call.keyed()) {
            claim(new Claimed(w, reservation, agent), 0);
        } else {
            dispatch(w.call, reservation, 0, agent);
        }
    }

    /** Claims until the owner answers or the time is up. Only the first answer counts. */
    private void claim(Claimed c, int replaces) {
        long round = ++c.round;
        ShardCommand command = ShardCommand.newBuilder()
                .setClaim(Claim.newBuilder()
                        .setBudget(c.w.call.budget())
                        .setRequestId(c.w.call.id())
                        .setDigest(com.google.protobuf.ByteString.copyFromUtf8("content-of-16-by"))
                        .setRepeatable(!c.w.call.order())
                        .setIncarnation(incarnation)
                        .setAgent(c.agent.name())
                        .setAgentIncarnation(c.agent.name() + "@1")
                        .setKeyTimeMs(queue.wallMillis())
                        .setReplacesAttempt(replaces))
                .build();
        for (int i = 0; i * TICK < CLAIM_WAIT; i++) {
            queue.after(i * TICK, () -> {
                if (alive && c.round == round) {
                    call(command, r -> claimed(c, round, r.getClaim()));
                }
            });
        }
        queue.after(CLAIM_WAIT, () -> {
            if (alive && c.round == round) {
                c.round++;
                if (c.w.call.order()) {
                    release(c.w.call, c.reservation);
                    refuse(c.w.call, c.w.counts, "register-unreachable");
                } else {
                    dispatch(c.w.call, c.reservation, 0, c.agent);
                }
            }
        });
    }

    private void claimed(Claimed c, long round, ClaimResult result) {
        if (c.round != round) {
            return;
        }
        c.round++;
        switch (result.getOutcome()) {
            case FRESH -> dispatch(c.w.call, c.reservation, result.getAttempt(), c.agent);
            case NOT_RUN -> claim(c, result.getAttempt());
            case RUNNING -> query(c, result);
            default -> attached(c);
        }
    }

    /** Asks the agent named in the register whether it has seen the attempt, and claims a new one if not. */
    private void query(Claimed c, ClaimResult running) {
        AgentModel agent = agents.stream()
                .filter(a -> a.name().equals(running.getAgent()))
                .findFirst()
                .orElseThrow();
        long round = c.round;
        links.send(dataCenter, agent.dataCenter(), () -> {
            boolean seen = agent.querySeen(c.w.call, running.getAttempt(), "");
            links.send(agent.dataCenter(), dataCenter, () -> {
                if (alive && c.round == round) {
                    c.round++;
                    if (seen) {
                        attached(c);
                    } else {
                        claim(c, running.getAttempt());
                    }
                }
            });
        });
        queue.after(CLAIM_WAIT, () -> {
            if (alive && c.round == round) {
                c.round++;
                attached(c);
            }
        });
    }

    private void attached(Claimed c) {
        release(c.w.call, c.reservation);
        inFlight.remove(c.w.call.id());
    }

    private void release(Call call, Reservation reservation) {
        truth.unreserve(call.id() + '#' + reservation.grantId());
        pool.release(reservation);
        pool.returnsDue(reservation.budget()).ifPresent(this::giveBack);
    }

    private void dispatch(Call call, Reservation reservation, int attempt, AgentModel agent) {
        new Run(call, reservation, attempt, agent).send();
    }

    private void finished(Call call, Reservation reservation, Usage usage) {
        inFlight.remove(call.id());
        pool.settle(reservation, usage.getTokens() + usage.getReturned());
        if (unsettled.isEmpty()) {
            queue.after(FLUSH, this::settle);
        }
        unsettled.put(call.id() + '#' + reservation.grantId(), usage);
        pool.returnsDue(call.budget()).ifPresent(this::giveBack);
    }

    private void settle() {
        if (!alive || unsettled.isEmpty()) {
            return;
        }
        List<String> keys = List.copyOf(unsettled.keySet());
        SettleBatch batch = SettleBatch.newBuilder()
                .setReporter(incarnation)
                .addAllUsages(unsettled.values())
                .build();
        call(ShardCommand.newBuilder().setSettle(batch).build(), r -> keys.forEach(unsettled::remove));
    }

    private void tick() {
        if (!alive) {
            return;
        }
        if (!open && ticks % 2 == 0) {
            OpenSession o = OpenSession.newBuilder()
                    .setRouter(incarnation.substring(0, incarnation.indexOf('@')))
                    .setIncarnation(incarnation)
                    .build();
            call(ShardCommand.newBuilder().setOpenSession(o).build(), r -> open = true);
        }
        if (owner.reachableFrom(dataCenter) && (leaseUntil < 0 || ticks % 10 == 0)) {
            leaseUntil = queue.micros() + LEASE;
        }
        resend();
        expireWaiters();
        if (ticks % 10 == 0) {
            pool.returnsDue().ifPresent(this::giveBack);
        }
        ticks++;
        queue.after(TICK, this::tick);
    }

    private void resend() {
        for (RequestGrant ask : pool.unansweredRequests()) {
            Long sent = askSent.get(ask.getGrantId());
            if (sent != null && queue.micros() - sent >= TICK) {
                ask(ask);
            }
        }
        if (ticks * TICK % RESEND == 0) {
            settle();
            pool.unacknowledgedReturns().ifPresent(this::giveBack);
        }
    }

    private void expireWaiters() {
        for (List<Waiter> list : waiters.values()) {
            for (Waiter w : List.copyOf(list)) {
                if (queue.micros() - w.sinceMicros > UNREACHABLE_WAIT) {
                    list.remove(w);
                    refuse(w.call, w.counts, "budget-unreachable");
                }
            }
        }
    }

    /** Sends a command to the owner. The answer is dropped if this process has ended. */
    private void call(ShardCommand command, Consumer<ShardResult> answer) {
        links.sendControl(
                dataCenter,
                owner.dataCenter(),
                command.getSerializedSize(),
                () -> owner.receive(
                        command,
                        r -> links.sendControl(owner.dataCenter(), dataCenter, r.getSerializedSize(), () -> {
                            if (alive) {
                                answer.accept(r);
                            }
                        })));
    }

    /** A call that waits for tokens. */
    private static final class Waiter {
        private final Call call;
        private final boolean counts;
        private final long sinceMicros;
        private long pause = HELD_FIRST_PAUSE;

        Waiter(Call call, boolean counts, long sinceMicros) {
            this.call = call;
            this.counts = counts;
            this.sinceMicros = sinceMicros;
        }

        long nextPause() {
            long now = pause;
            pause *= 2;
            return now;
        }
    }

    /** A call that is being claimed. The round tells late answers from awaited ones. */
    private static final class Claimed {
        private final Waiter w;
        private final Reservation reservation;
        private final AgentModel agent;
        private long round;

        Claimed(Waiter w, Reservation reservation, AgentModel agent) {
            this.w = w;
            this.reservation = reservation;
            this.agent = agent;
        }
    }

    /** A call at an agent, from the first dispatch until its usage is known or it is proved not run. */
    private final class Run implements AgentModel.Caller {
        private final Call call;
        private final Reservation reservation;
        private final int attempt;
        private final AgentModel agent;
        private final long sinceMicros = queue.micros();
        private boolean accepted;
        private boolean done;

        Run(Call call, Reservation reservation, int attempt, AgentModel agent) {
            this.call = call;
            this.reservation = reservation;
            this.attempt = attempt;
            this.agent = agent;
        }

        void send() {
            if (!alive || accepted || done) {
                return;
            }
            Usage template = Usage.newBuilder()
                    .setBudget(call.budget())
                    .setRequestId(call.id())
                    .setGrantId(reservation.grantId())
                    .setIncarnation(incarnation)
                    .setEndpoint(agent.name())
                    .setVersion("v1")
                    .setRoute(call.budget().getService())
                    .setClaimed(attempt > 0)
                    .build();
            boolean late = queue.micros() - sinceMicros > DISPATCH_WAIT;
            links.send(dataCenter, agent.dataCenter(), () -> {
                AgentModel.Acceptance a = late && !agent.querySeen(call, attempt, reservation.grantId())
                        ? AgentModel.Acceptance.REFUSED
                        : agent.dispatch(call, attempt, template, reservation.tokens(), this);
                links.send(agent.dataCenter(), dataCenter, () -> answered(a));
            });
            queue.after(RESEND, this::send);
        }

        private void answered(AgentModel.Acceptance a) {
            if (!alive || done) {
                return;
            }
            accepted = true;
            if (a != AgentModel.Acceptance.RUNNING) {
                done = true;
                inFlight.remove(call.id());
                release(call, reservation);
            }
        }

        /** Carries the result from the agent until the router has it. */
        @Override
        public boolean isLost() {
            boolean died = !alive && queue.micros() - diedAtMicros >= Links.KEEPALIVE_MICROS;
            return died || links.noticedLoss(agent.dataCenter(), dataCenter);
        }

        @Override
        public void deliver(Usage usage) {
            if (!alive || done) {
                return;
            }
            links.send(agent.dataCenter(), dataCenter, () -> {
                if (alive && !done) {
                    done = true;
                    finished(call, reservation, usage);
                }
            });
            queue.after(RESEND, () -> deliver(usage));
        }
    }
}
