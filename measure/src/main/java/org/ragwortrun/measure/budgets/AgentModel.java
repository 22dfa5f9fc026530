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

/** An agent that runs calls and reports their usage until the owner acknowledges it. */
final class AgentModel {
    private static final long FLUSH_MICROS = 20_000;
    private static final long RESEND_MICROS = 500_000;

    private final String name;
    private final int dataCenter;
    private final EventQueue queue;
    private final Links links;
    private final OwnerModel owner;
    private final GroundTruth truth;
    private final Map<String, String> ownersByRun = new HashMap<>();
    private final Set<String> tombstones = new HashSet<>();
    private final Set<String> fenced = new HashSet<>();
    private final Map<String, Integer> running = new HashMap<>();
    private final Map<String, Usage> unacknowledged = new LinkedHashMap<>();
    private final Set<String> unconfirmedFences = new HashSet<>();

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

    /** Runs a call once, unless its incarnation is fenced or a query has invalidated the attempt. */
    DispatchReply dispatch(Call call, int attempt, Usage template, long reserved, UsageReceiver receiver) {
        String run = call.keyed() ? call.id() : call.id() + '#' + template.getGrantId();
        String owner = template.getGrantId() + '#' + attempt;
        String known = ownersByRun.get(run);
        if (known != null) {
            return known.equals(owner) ? DispatchReply.RUNNING : DispatchReply.RUNNING_FOR_ANOTHER;
        }
        if (fenced.contains(template.getIncarnation()) || tombstones.contains(call.id() + '#' + attempt)) {
            return DispatchReply.REFUSED;
        }
        ownersByRun.put(run, owner);
        truth.reserve(call.id() + '#' + template.getGrantId(), call.budget(), reserved);
        running.merge(template.getIncarnation(), 1, Integer::sum);
        queue.after(call.durationMicros(), () -> finish(call, template, reserved, receiver));
        return DispatchReply.RUNNING;
    }

    private void finish(Call call, Usage template, long reserved, UsageReceiver receiver) {
        long tokens = Math.min(call.usedTokens(), reserved);
        truth.recordRun(call, tokens);
        truth.release(call.id() + '#' + template.getGrantId());
        Usage usage = template.toBuilder()
                .setTokens(tokens)
                .setReturned(receiver.isDisconnected() ? reserved - tokens : 0)
                .setStatus(200)
                .build();
        running.merge(template.getIncarnation(), -1, Integer::sum);
        unacknowledged.put(call.id() + '#' + template.getGrantId(), usage);
        queue.after(FLUSH_MICROS, this::report);
        receiver.deliver(usage);
    }

    /** Tells whether this agent has seen a call. If not, it will refuse a late dispatch of the attempt. */
    boolean querySeen(Call call, int attempt, String grantId) {
        String run = call.keyed() ? call.id() : call.id() + '#' + grantId;
        if (ownersByRun.containsKey(run)) {
            return true;
        }
        tombstones.add(call.id() + '#' + attempt);
        return false;
    }

    boolean hasSeen(Call call) {
        return ownersByRun.keySet().stream().anyMatch(run -> run.equals(call.id()) || run.startsWith(call.id() + '#'));
    }

    void fence(String incarnation) {
        fenced.add(incarnation);
        unconfirmedFences.add(incarnation);
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
                () -> owner.propose(
                        command,
                        r -> links.send(owner.dataCenter(), dataCenter, () -> {
                            unacknowledged.keySet().removeAll(batch.keySet());
                            confirmFences();
                        })));
    }

    private void confirmFences() {
        for (String incarnation : Set.copyOf(unconfirmedFences)) {
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
                        () -> owner.propose(command, r -> {
                            if (r.getFence().getAwaitedAgentsCount() == 0) {
                                owner.onFenceConfirmed(incarnation);
                            }
                            links.send(owner.dataCenter(), dataCenter, () -> unconfirmedFences.remove(incarnation));
                        }));
            }
        }
    }

    /** Receives the usage of a run for the router that dispatched it. */
    interface UsageReceiver {
        /** Tells whether the agent has detected that it is disconnected from the router. */
        boolean isDisconnected();

        /** Delivers the usage to the router, after a reconnection if necessary. */
        void deliver(Usage usage);
    }

    /** Reply to a dispatch. */
    enum DispatchReply {
        RUNNING,
        RUNNING_FOR_ANOTHER,
        REFUSED
    }
}
