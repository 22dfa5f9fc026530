package org.ragwortrun.measure.budgets;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.ragwortrun.proto.BudgetRef;

/** Routers, agents, owner, callers and balancer of one run. */
final class SimulatedSite implements Fleet, Outcomes {
    private static final long SECOND = Scenario.SECOND;
    private static final long NOTICE = 2 * SECOND;
    private static final long RESTART = 2 * SECOND;
    private static final long DRAIN = 60 * SECOND;
    private static final long CHECK = SECOND;
    private static final double LOSS = 0.001;
    private static final double COPIES = 0.01;
    private static final int AGENTS = 6;

    private final Scenario scenario;
    private final GrantScheme design;
    private final EventQueue queue = new EventQueue();
    private final GroundTruth truth = new GroundTruth(queue);
    private final UniformRandomProvider random;
    private final Links links;
    private final OwnerModel owner;
    private final List<AgentModel> agents = new ArrayList<>();
    private final List<RouterModel> routers = new ArrayList<>();
    private final Set<String> falselyRefused = new HashSet<>();
    private final long[] unreadySince = new long[Scenario.DATA_CENTERS];
    private int lives;
    private int crashes;
    private int partitions;
    private int callerRetries;
    private int brokenCalls;

    SimulatedSite(Scenario scenario, GrantScheme design) {
        this.scenario = scenario;
        this.design = design;
        this.random = RandomSource.XO_RO_SHI_RO_128_PP.create(scenario.seed() + 7_919);
        this.links = new Links(queue, random, LOSS, COPIES);
        this.owner = new OwnerModel(
                queue, links, design.policy(), design.recalls(), truth, random.nextInt(Scenario.DATA_CENTERS));
    }

    SimulatedSite run() {
        for (int i = 0; i < AGENTS; i++) {
            agents.add(new AgentModel("agent-" + i, i % Scenario.DATA_CENTERS, queue, links, owner, truth));
        }
        owner.serve(this);
        for (int i = 0; i < Scenario.DATA_CENTERS; i++) {
            routers.add(start(i));
        }
        scenario.topUps()
                .forEach(t -> queue.at(t.atMicros(), () -> {
                    truth.paid(t.topUp().getBudget(), t.topUp().getTokens());
                    owner.topUp(t);
                }));
        scenario.calls().forEach(c -> queue.at(c.atMicros(), () -> arrive(c)));
        scheduleFaults(scenario.faults());
        queue.after(CHECK, this::check);
        queue.runUntil(scenario.lengthMicros() + DRAIN);
        truth.checkStatement(owner.shard());
        return this;
    }

    private RouterModel start(int dataCenter) {
        Simulation all = new Simulation(queue, links, owner, agents, random, truth);
        return new RouterModel("router-" + dataCenter, ++lives, dataCenter, all, design.settings(), this);
    }

    private void check() {
        truth.checkStatement(owner.shard());
        queue.after(CHECK, this::check);
    }

    private void scheduleFaults(Scenario.Faults f) {
        if (f.cutDataCenter() < 0) {
            return;
        }
        queue.at(f.cutMicros(), () -> {
            partitions++;
            links.cut(f.cutDataCenter());
            if (owner.dataCenter() == f.cutDataCenter()) {
                owner.moveTo((f.cutDataCenter() + 1) % Scenario.DATA_CENTERS);
            }
        });
        queue.at(f.healMicros(), () -> links.cut(-1));
        queue.at(f.dieMicros(), () -> {
            crashes++;
            List<Call> broken = routers.get(f.dyingRouter()).die();
            brokenCalls += broken.size();
            // What the dead process had reserved for calls that no agent has seen is free for a ledger that knows all.
            broken.stream()
                    .filter(c -> agents.stream().noneMatch(a -> a.isRunning(c)))
                    .forEach(truth::unreserveAll);
            broken.forEach(this::retryAfterBreak);
            queue.after(RESTART, () -> routers.set(f.dyingRouter(), start(f.dyingRouter())));
        });
    }

    private void retryAfterBreak(Call call) {
        if (call.keyed()) {
            callerRetries++;
            queue.after(50_000 + random.nextLong(450_000), () -> send(call, true, 0));
        }
    }

    private void arrive(Call call) {
        truth.arrived(call);
        send(call, true, 0);
        if (call.retryMicros() > 0) {
            queue.after(call.retryMicros(), () -> {
                if (!truth.wasRefused(call)) {
                    callerRetries++;
                    send(call, false, 1 + random.nextInt(2));
                }
            });
        }
    }

    /** Sends a call to the first router that the balancer believes ready, from the call's own data center on. */
    private void send(Call call, boolean counts, int shift) {
        for (int i = 0; i < Scenario.DATA_CENTERS; i++) {
            int d = (call.dataCenter() + shift + i) % Scenario.DATA_CENTERS;
            RouterModel r = routers.get(d);
            if (r.isReady()) {
                unreadySince[d] = 0;
                r.serve(call, counts);
                return;
            }
            if (unreadySince[d] == 0) {
                unreadySince[d] = queue.micros();
            }
            // A dead process accepts no connection, so the balancer tries the next one at once.
            if (r.isAlive() && queue.micros() - unreadySince[d] < NOTICE) {
                r.serve(call, counts);
                return;
            }
        }
        if (counts) {
            refused(call, "no-router");
        }
    }

    @Override
    public void refused(Call call, String reason) {
        truth.refused(call, reason);
        falselyRefused.add(call.id());
    }

    @Override
    public List<String> agentNames() {
        return agents.stream().map(AgentModel::name).toList();
    }

    @Override
    public void recall(int from, String incarnation, BudgetRef budget) {
        routers.stream()
                .filter(r -> r.incarnation().equals(incarnation))
                .forEach(r ->
                        links.sendControl(from, r.dataCenter(), budget.getSerializedSize(), () -> r.recall(budget)));
    }

    @Override
    public void fence(int from, String incarnation) {
        agents.forEach(a -> links.send(from, a.dataCenter(), () -> a.fence(incarnation)));
    }

    Set<String> refusedIds() {
        return falselyRefused;
    }

    GroundTruth truth() {
        return truth;
    }

    OwnerModel owner() {
        return owner;
    }

    Links links() {
        return links;
    }

    int partitions() {
        return partitions;
    }

    int crashes() {
        return crashes;
    }

    int callerRetries() {
        return callerRetries;
    }

    int brokenCalls() {
        return brokenCalls;
    }
}
