package org.ragwortrun.measure.budgets;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.ragwortrun.proto.BudgetRef;

/** Simulates the routers, agents, owner, callers and load balancer of one run. */
final class SimulatedSite implements Fleet, RefusalListener {
    private static final long SECOND_MICROS = Scenario.SECOND_MICROS;
    private static final long UNREADY_DETECTION_MICROS = 2 * SECOND_MICROS;
    private static final long RESTART_DELAY_MICROS = 2 * SECOND_MICROS;
    private static final long DRAIN_MICROS = 60 * SECOND_MICROS;
    private static final long CHECK_INTERVAL_MICROS = SECOND_MICROS;
    private static final double LOSS_RATE = 0.001;
    private static final double DUPLICATE_RATE = 0.01;
    private static final int AGENT_COUNT = 6;

    private final Scenario scenario;
    private final GrantScheme design;
    private final EventQueue queue = new EventQueue();
    private final GroundTruth truth = new GroundTruth(queue);
    private final UniformRandomProvider random;
    private final Links links;
    private final OwnerModel owner;
    private final List<AgentModel> agents = new ArrayList<>();
    private final List<RouterModel> routers = new ArrayList<>();
    private final Set<String> refusedIds = new HashSet<>();
    private final long[] unreadySinceMicros = new long[Scenario.DATA_CENTERS];
    private int incarnations;
    private int crashes;
    private int partitions;
    private int callerRetries;
    private int interruptedCalls;

    SimulatedSite(Scenario scenario, GrantScheme design) {
        this.scenario = scenario;
        this.design = design;
        this.random = RandomSource.XO_RO_SHI_RO_128_PP.create(scenario.seed() + 7_919);
        this.links = new Links(queue, random, LOSS_RATE, DUPLICATE_RATE);
        this.owner = new OwnerModel(
                queue, links, design.policy(), design.recalls(), truth, random.nextInt(Scenario.DATA_CENTERS));
    }

    SimulatedSite run() {
        for (int i = 0; i < AGENT_COUNT; i++) {
            agents.add(new AgentModel("agent-" + i, i % Scenario.DATA_CENTERS, queue, links, owner, truth));
        }
        owner.setFleet(this);
        for (int i = 0; i < Scenario.DATA_CENTERS; i++) {
            routers.add(start(i));
        }
        scenario.topUps()
                .forEach(t -> queue.at(t.atMicros(), () -> {
                    truth.recordTopUp(t.topUp().getBudget(), t.topUp().getTokens());
                    owner.topUp(t);
                }));
        scenario.calls().forEach(c -> queue.at(c.atMicros(), () -> onArrival(c)));
        scheduleFaults(scenario.faults());
        queue.after(CHECK_INTERVAL_MICROS, this::checkStatements);
        queue.runUntil(scenario.lengthMicros() + DRAIN_MICROS);
        truth.checkStatement(owner.shard());
        return this;
    }

    private RouterModel start(int dataCenter) {
        Simulation all = new Simulation(queue, links, owner, agents, random, truth);
        return new RouterModel("router-" + dataCenter, ++incarnations, dataCenter, all, design.settings(), this);
    }

    private void checkStatements() {
        truth.checkStatement(owner.shard());
        queue.after(CHECK_INTERVAL_MICROS, this::checkStatements);
    }

    private void scheduleFaults(Scenario.Faults f) {
        if (f.partitionedDataCenter() < 0) {
            return;
        }
        queue.at(f.partitionMicros(), () -> {
            partitions++;
            links.partition(f.partitionedDataCenter());
            if (owner.dataCenter() == f.partitionedDataCenter()) {
                owner.electLeaderIn((f.partitionedDataCenter() + 1) % Scenario.DATA_CENTERS);
            }
        });
        queue.at(f.healMicros(), () -> links.partition(-1));
        queue.at(f.crashMicros(), () -> {
            crashes++;
            List<Call> interrupted = routers.get(f.crashingRouter()).crash();
            interruptedCalls += interrupted.size();
            // Reservations of the crashed process for calls that no agent has seen are available to a perfect ledger.
            interrupted.stream()
                    .filter(c -> agents.stream().noneMatch(a -> a.hasSeen(c)))
                    .forEach(truth::releaseAll);
            interrupted.forEach(this::retryAfterCrash);
            queue.after(RESTART_DELAY_MICROS, () -> routers.set(f.crashingRouter(), start(f.crashingRouter())));
        });
    }

    private void retryAfterCrash(Call call) {
        if (call.keyed()) {
            callerRetries++;
            queue.after(50_000 + random.nextLong(450_000), () -> send(call, true, 0));
        }
    }

    private void onArrival(Call call) {
        truth.recordArrival(call);
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

    /** Sends a call to the first router that the load balancer considers ready, starting in the call's data center. */
    private void send(Call call, boolean countsRefusal, int shift) {
        for (int i = 0; i < Scenario.DATA_CENTERS; i++) {
            int d = (call.dataCenter() + shift + i) % Scenario.DATA_CENTERS;
            RouterModel r = routers.get(d);
            if (r.isReady()) {
                unreadySinceMicros[d] = 0;
                r.serve(call, countsRefusal);
                return;
            }
            if (unreadySinceMicros[d] == 0) {
                unreadySinceMicros[d] = queue.micros();
            }
            // A dead process accepts no connection, so the load balancer tries the next one at once.
            if (r.isAlive() && queue.micros() - unreadySinceMicros[d] < UNREADY_DETECTION_MICROS) {
                r.serve(call, countsRefusal);
                return;
            }
        }
        if (countsRefusal) {
            onRefused(call, "no-router");
        }
    }

    @Override
    public void onRefused(Call call, String reason) {
        truth.recordRefusal(call, reason);
        refusedIds.add(call.id());
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
        return refusedIds;
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

    int interruptedCalls() {
        return interruptedCalls;
    }
}
