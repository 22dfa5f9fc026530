package org.ragwortrun.measure.budgets;

import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.ragwortrun.proto.ConfirmFence;
import org.ragwortrun.proto.SettleBatch;
import org.ragwortrun.proto.ShardCommand;
import org.ragwortrun.proto.Usage;

/** An agent: runs calls, meters them and reports until the owner acknowledges. */
final class AgentModel {
    private static final long FLUSH_MICROS = 20_000;
    private static final long RESEND_MICROS = 500_000;

    private final String name;
    private final int dataCenter;
    private final EventQueue queue;
    private final Links links;
    private final OwnerModel owner;
    private final GroundTruth truth;
    private final Map<String, String> seen = new HashMap<>();
    private final Set<String> tombstones = new HashSet<>();
    private final Set<String> fenced = new HashSet<>();
    private final Map<String, Integer> running = new HashMap<>();
    private final Map<String, Usage> unacknowledged = new LinkedHashMap<>();
    private final Set<String> toConfirm = new HashSet<>();

    AgentModel(String name, int dataCenter, EventQueue queue, Links links, OwnerModel owner, GroundTruth truth) {
        this.name = name;
        this.dataCenter = dataCenter;
        this.queue = queue;
        this.links = links;
        this.owner = owner;
        this.truth = truth;
        queue.after(RESEND_MICROS, this::resend);
    }

    String name() {
        return name;
    }

    int dataCenter() {
        return dataCenter;
    }

    /** Runs a call once, unless its incarnation is fenced or the attempt was given up. */
    Acceptance dispatch(Call call, int attempt, Usage template, long reserved, Caller caller) {
        String run = call.keyed() ? call.id() : call.id() + '#' + template.getGrantId();
        String owner = template.getGrantId() + '#' + attempt;
        String known = seen.get(run);
        if (known != null) {
            return known.equals(owner) ? Acceptance.RUNNING : Acceptance.RUNNING_FOR_ANOTHER;
        }
        if (fenced.contains(template.getIncarnation()) || tombstones.contains(call.id() + '#' + attempt)) {
            return Acceptance.REFUSED;
        }
        seen.put(run, owner);
        truth.reserve(call.id() + '#' + template.getGrantId(), call.budget(), reserved);
        running.merge(template.getIncarnation(), 1, Integer::sum);
        queue.after(call.durationMicros(), () -> finish(call, template, reserved, caller));
        return Acceptance.RUNNING;
    }

    private void finish(Call call, Usage template, long reserved, Caller caller) {
        long tokens = Math.min(call.used(), reserved);
        truth.finished(call, tokens);
        truth.unreserve(call.id() + '#' + template.getGrantId());
        Usage usage = template.toBuilder()
                .setTokens(tokens)
                .setReturned(caller.isLost() ? reserved - tokens : 0)
                .setStatus(200)
                .build();
        running.merge(template.getIncarnation(), -1, Integer::sum);
        unacknowledged.put(call.id() + '#' + template.getGrantId(), usage);
        queue.after(FLUSH_MICROS, this::report);
        caller.deliver(usage);
    }

    /** Tells whether a call was seen here; if not, a late dispatch of the attempt will be refused. */
    boolean querySeen(Call call, int attempt, String grantId) {
        String run = call.keyed() ? call.id() : call.id() + '#' + grantId;
        if (seen.containsKey(run)) {
            return true;
        }
        tombstones.add(call.id() + '#' + attempt);
        return false;
    }

    boolean isRunning(Call call) {
        return seen.keySet().stream().anyMatch(run -> run.equals(call.id()) || run.startsWith(call.id() + '#'));
    }

    void fence(String incarnation) {
        fenced.add(incarnation);
        toConfirm.add(incarnation);
        confirmFences();
    }

    private void resend() {
        report();
        confirmFences();
        queue.after(RESEND_MICROS, this::resend);
    }

    private void report() {
        if (unacknowledged.isEmpty()) {
            return;
        }
        Map<String, Usage> batch = Map.copyOf(unacknowledged);
        ShardCommand command = ShardCommand.newBuilder()
                .setSettle(
                        SettleBatch.newBuilder().setReporter(name).addAllUsages(List.copyOf(unacknowledged.values())))
                .build();
        links.send(
                dataCenter,
                owner.dataCenter(),
                () -> owner.receive(
                        command,
                        r -> links.send(owner.dataCenter(), dataCenter, () -> {
                            unacknowledged.keySet().removeAll(batch.keySet());
                            confirmFences();
                        })));
    }

    private void confirmFences() {
        for (String incarnation : Set.copyOf(toConfirm)) {
            boolean delivered = unacknowledged.values().stream()
                    .noneMatch(u -> u.getIncarnation().equals(incarnation));
            if (delivered && running.getOrDefault(incarnation, 0) == 0) {
                ShardCommand command = ShardCommand.newBuilder()
                        .setConfirmFence(ConfirmFence.newBuilder()
                                .setIncarnation(incarnation)
                                .setAgent(name))
                        .build();
                links.send(
                        dataCenter,
                        owner.dataCenter(),
                        () -> owner.receive(command, r -> {
                            if (r.getFence().getAwaitedAgentsCount() == 0) {
                                owner.fenced(incarnation);
                            }
                            links.send(owner.dataCenter(), dataCenter, () -> toConfirm.remove(incarnation));
                        }));
            }
        }
    }

    /** The router that waits for a run. */
    interface Caller {
        /** Tells whether the agent knows that it has no connection to the router. */
        boolean isLost();

        /** Carries the usage to the router, when there is a connection again if there is none. */
        void deliver(Usage usage);
    }

    /** Answer to a dispatch. */
    enum Acceptance {
        RUNNING,
        RUNNING_FOR_ANOTHER,
        REFUSED
    }
}
