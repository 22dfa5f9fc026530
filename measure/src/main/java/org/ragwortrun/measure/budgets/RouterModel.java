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

/** One incarnation of a router process. */
final class RouterModel {
    private static final long MILLI_MICROS = 1_000;
    private static final long TICK_MICROS = 100 * MILLI_MICROS;
    private static final long LEASE_MICROS = 3_000 * MILLI_MICROS;
    private static final long HELD_TIMEOUT_MICROS = 100 * MILLI_MICROS;
    private static final long HELD_INITIAL_BACKOFF_MICROS = 4 * MILLI_MICROS;
    private static final long UNREACHABLE_TIMEOUT_MICROS = 2_000 * MILLI_MICROS;
    private static final long CLAIM_TIMEOUT_MICROS = 2_000 * MILLI_MICROS;
    private static final long DISPATCH_TIMEOUT_MICROS = 5_000 * MILLI_MICROS;
    private static final long FLUSH_DELAY_MICROS = 50 * MILLI_MICROS;
    private static final long RESEND_INTERVAL_MICROS = 500 * MILLI_MICROS;

    private final int dataCenter;
    private final String incarnation;
    private final EventQueue queue;
    private final Links links;
    private final OwnerModel owner;
    private final UniformRandomProvider random;
    private final RefusalListener refusalListener;
    private final GroundTruth truth;
    private final List<AgentModel> agents;
    private final GrantPool pool;
    private final Map<BudgetRef, List<Waiter>> waiters = new LinkedHashMap<>();
    private final Map<String, Long> grantRequestSentMicros = new HashMap<>();
    private final Map<String, Usage> unsettled = new LinkedHashMap<>();
    private final Map<String, Call> inFlight = new LinkedHashMap<>();
    private boolean alive = true;
    private boolean sessionOpen;
    private long leaseUntil = -1;
    private long crashedAtMicros;
    private long ticks;

    RouterModel(
            String name,
            int life,
            int dataCenter,
            Simulation simulation,
            PoolSettings settings,
            RefusalListener refusalListener) {
        this.dataCenter = dataCenter;
        this.incarnation = name + "@" + life;
        this.queue = simulation.queue();
        this.links = simulation.links();
        this.owner = simulation.owner();
        this.agents = simulation.agents();
        this.random = simulation.random();
        this.refusalListener = refusalListener;
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

    /** Tells whether the process can serve requests. */
    boolean isReady() {
        return alive && sessionOpen && queue.micros() <= leaseUntil;
    }

    /** Crashes the process and returns the calls whose connections failed. */
    List<Call> crash() {
        alive = false;
        crashedAtMicros = queue.micros();
        return List.copyOf(inFlight.values());
    }

    void serve(Call call, boolean countsRefusal) {
        if (!isReady()) {
            refuse(call, countsRefusal, "configuration-lease-expired");
            return;
        }
        inFlight.put(call.id(), call);
        Waiter w = new Waiter(call, countsRefusal, queue.micros());
        reserve(w, true);
    }

    private void refuse(Call call, boolean countsRefusal, String reason) {
        inFlight.remove(call.id());
        if (countsRefusal) {
            refusalListener.onRefused(call, reason);
        }
    }

    private void reserve(Waiter w, boolean first) {
        BudgetRef budget = w.call.budget();
        ReserveResult result =
                first ? pool.reserve(budget, w.call.maxTokens()) : pool.retryReserve(budget, w.call.maxTokens());
        if (result instanceof ReserveResult.Reserved r) {
            pool.refill(budget).ifPresent(this::requestGrant);
            onReserved(w, r.reservation());
        } else if (result instanceof ReserveResult.GrantNeeded more) {
            more.returns().ifPresent(this::returnTokens);
            waiters.computeIfAbsent(budget, b -> new ArrayList<>()).add(w);
            more.request().ifPresent(this::requestGrant);
        }
    }

    private void requestGrant(RequestGrant request) {
        grantRequestSentMicros.put(request.getGrantId(), queue.micros());
        sendCommand(
                ShardCommand.newBuilder().setRequestGrant(request).build(), r -> onGrantResult(request, r.getGrant()));
    }

    private void onGrantResult(RequestGrant request, GrantResult result) {
        if (grantRequestSentMicros.remove(request.getGrantId()) == null) {
            return;
        }
        pool.applyGrantResult(request, result).ifPresent(this::returnTokens);
        List<Waiter> all = waiters.remove(request.getBudget());
        if (all == null) {
            return;
        }
        boolean held = result.getOutcome() == GrantResult.Outcome.HELD;
        boolean exhausted = !held && result.getOutcome() != GrantResult.Outcome.GRANTED;
        for (Waiter w : all) {
            boolean affected = request.getMinimum() > 0 && w.call.maxTokens() >= request.getMinimum();
            if (exhausted && affected || held && affected && queue.micros() - w.sinceMicros > HELD_TIMEOUT_MICROS) {
                refuse(w.call, w.countsRefusal, "budget-spent");
            } else if (held && affected) {
                queue.after(w.nextBackoff(), () -> retryReservation(w));
            } else {
                reserve(w, false);
            }
        }
    }

    private void retryReservation(Waiter w) {
        if (alive) {
            reserve(w, false);
        }
    }

    private void returnTokens(ReduceGrants reduce) {
        sendCommand(ShardCommand.newBuilder().setReduceGrants(reduce).build(), r -> pool.acknowledgeReturns(reduce));
    }

    void recall(BudgetRef budget) {
        if (alive) {
            pool.recall(budget).ifPresent(this::returnTokens);
        }
    }

    private void onReserved(Waiter w, Reservation reservation) {
        truth.reserve(w.call.id() + '#' + reservation.grantId(), w.call.budget(), reservation.tokens());
        List<AgentModel> reachable = agents.stream()
                .filter(a -> links.isConnected(dataCenter, a.dataCenter()))
                .toList();
        AgentModel agent = reachable.get(random.nextInt(reachable.size()));
        if (w.call.keyed()) {
            claim(new PendingClaim(w, reservation, agent), 0);
        } else {
            dispatch(w.call, reservation, 0, agent);
        }
    }

    /** Sends the claim repeatedly until the owner replies or a timeout expires. Only the first reply counts. */
    private void claim(PendingClaim c, int replaces) {
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
        for (int i = 0; i * TICK_MICROS < CLAIM_TIMEOUT_MICROS; i++) {
            queue.after(i * TICK_MICROS, () -> {
                if (alive && c.round == round) {
                    sendCommand(command, r -> onClaimResult(c, round, r.getClaim()));
                }
            });
        }
        queue.after(CLAIM_TIMEOUT_MICROS, () -> {
            if (alive && c.round == round) {
                c.round++;
                if (c.w.call.order()) {
                    release(c.w.call, c.reservation);
                    refuse(c.w.call, c.w.countsRefusal, "register-unreachable");
                } else {
                    dispatch(c.w.call, c.reservation, 0, c.agent);
                }
            }
        });
    }

    private void onClaimResult(PendingClaim c, long round, ClaimResult result) {
        if (c.round != round) {
            return;
        }
        c.round++;
        switch (result.getOutcome()) {
            case FRESH -> dispatch(c.w.call, c.reservation, result.getAttempt(), c.agent);
            case NOT_RUN -> claim(c, result.getAttempt());
            case RUNNING -> query(c, result);
            default -> onAttached(c);
        }
    }

    /** Queries the agent named in the register, and claims a new attempt if the agent has not seen the current one. */
    private void query(PendingClaim c, ClaimResult running) {
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
                        onAttached(c);
                    } else {
                        claim(c, running.getAttempt());
                    }
                }
            });
        });
        queue.after(CLAIM_TIMEOUT_MICROS, () -> {
            if (alive && c.round == round) {
                c.round++;
                onAttached(c);
            }
        });
    }

    private void onAttached(PendingClaim c) {
        release(c.w.call, c.reservation);
        inFlight.remove(c.w.call.id());
    }

    private void release(Call call, Reservation reservation) {
        truth.release(call.id() + '#' + reservation.grantId());
        pool.release(reservation);
        pool.returnsDue(reservation.budget()).ifPresent(this::returnTokens);
    }

    private void dispatch(Call call, Reservation reservation, int attempt, AgentModel agent) {
        new Run(call, reservation, attempt, agent).send();
    }

    private void onFinished(Call call, Reservation reservation, Usage usage) {
        inFlight.remove(call.id());
        pool.settle(reservation, usage.getTokens() + usage.getReturned());
        if (unsettled.isEmpty()) {
            queue.after(FLUSH_DELAY_MICROS, this::settle);
        }
        unsettled.put(call.id() + '#' + reservation.grantId(), usage);
        pool.returnsDue(call.budget()).ifPresent(this::returnTokens);
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
        sendCommand(ShardCommand.newBuilder().setSettle(batch).build(), r -> keys.forEach(unsettled::remove));
    }

    private void tick() {
        if (!alive) {
            return;
        }
        if (!sessionOpen && ticks % 2 == 0) {
            OpenSession o = OpenSession.newBuilder()
                    .setRouter(incarnation.substring(0, incarnation.indexOf('@')))
                    .setIncarnation(incarnation)
                    .build();
            sendCommand(ShardCommand.newBuilder().setOpenSession(o).build(), r -> sessionOpen = true);
        }
        if (owner.isReachableFrom(dataCenter) && (leaseUntil < 0 || ticks % 10 == 0)) {
            leaseUntil = queue.micros() + LEASE_MICROS;
        }
        resend();
        expireWaiters();
        if (ticks % 10 == 0) {
            pool.returnsDue().ifPresent(this::returnTokens);
        }
        ticks++;
        queue.after(TICK_MICROS, this::tick);
    }

    private void resend() {
        for (RequestGrant request : pool.unansweredRequests()) {
            Long sent = grantRequestSentMicros.get(request.getGrantId());
            if (sent != null && queue.micros() - sent >= TICK_MICROS) {
                requestGrant(request);
            }
        }
        if (ticks * TICK_MICROS % RESEND_INTERVAL_MICROS == 0) {
            settle();
            pool.unacknowledgedReturns().ifPresent(this::returnTokens);
        }
    }

    private void expireWaiters() {
        for (List<Waiter> list : waiters.values()) {
            for (Waiter w : List.copyOf(list)) {
                if (queue.micros() - w.sinceMicros > UNREACHABLE_TIMEOUT_MICROS) {
                    list.remove(w);
                    refuse(w.call, w.countsRefusal, "budget-unreachable");
                }
            }
        }
    }

    /** Sends a command to the owner. The reply is dropped if this process has crashed. */
    private void sendCommand(ShardCommand command, Consumer<ShardResult> reply) {
        links.sendControl(
                dataCenter,
                owner.dataCenter(),
                command.getSerializedSize(),
                () -> owner.propose(
                        command,
                        r -> links.sendControl(owner.dataCenter(), dataCenter, r.getSerializedSize(), () -> {
                            if (alive) {
                                reply.accept(r);
                            }
                        })));
    }

    /** A call that waits for tokens. */
    private static final class Waiter {
        private final Call call;
        private final boolean countsRefusal;
        private final long sinceMicros;
        private long backoffMicros = HELD_INITIAL_BACKOFF_MICROS;

        Waiter(Call call, boolean countsRefusal, long sinceMicros) {
            this.call = call;
            this.countsRefusal = countsRefusal;
            this.sinceMicros = sinceMicros;
        }

        long nextBackoff() {
            long now = backoffMicros;
            backoffMicros *= 2;
            return now;
        }
    }

    /** A call that is being claimed. The round distinguishes late replies from expected ones. */
    private static final class PendingClaim {
        private final Waiter w;
        private final Reservation reservation;
        private final AgentModel agent;
        private long round;

        PendingClaim(Waiter w, Reservation reservation, AgentModel agent) {
            this.w = w;
            this.reservation = reservation;
            this.agent = agent;
        }
    }

    /** A call at an agent, from the first dispatch until its usage is known or it is known not to have run. */
    private final class Run implements AgentModel.UsageReceiver {
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
            boolean late = queue.micros() - sinceMicros > DISPATCH_TIMEOUT_MICROS;
            links.send(dataCenter, agent.dataCenter(), () -> {
                AgentModel.DispatchReply a = late && !agent.querySeen(call, attempt, reservation.grantId())
                        ? AgentModel.DispatchReply.REFUSED
                        : agent.dispatch(call, attempt, template, reservation.tokens(), this);
                links.send(agent.dataCenter(), dataCenter, () -> onDispatchReply(a));
            });
            queue.after(RESEND_INTERVAL_MICROS, this::send);
        }

        private void onDispatchReply(AgentModel.DispatchReply a) {
            if (!alive || done) {
                return;
            }
            accepted = true;
            if (a != AgentModel.DispatchReply.RUNNING) {
                done = true;
                inFlight.remove(call.id());
                release(call, reservation);
            }
        }

        @Override
        public boolean isDisconnected() {
            boolean crashDetected = !alive && queue.micros() - crashedAtMicros >= Links.KEEPALIVE_MICROS;
            return crashDetected || links.hasDetectedPartition(agent.dataCenter(), dataCenter);
        }

        /** Resends the usage from the agent until the router has received it. */
        @Override
        public void deliver(Usage usage) {
            if (!alive || done) {
                return;
            }
            links.send(agent.dataCenter(), dataCenter, () -> {
                if (alive && !done) {
                    done = true;
                    onFinished(call, reservation, usage);
                }
            });
            queue.after(RESEND_INTERVAL_MICROS, () -> deliver(usage));
        }
    }
}
