package org.ragwortrun.measure.budgets;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.Consumer;
import org.ragwortrun.ledger.GrantPolicy;
import org.ragwortrun.ledger.ShardState;
import org.ragwortrun.proto.BudgetRef;
import org.ragwortrun.proto.CloseSession;
import org.ragwortrun.proto.GrantResult;
import org.ragwortrun.proto.ShardCommand;
import org.ragwortrun.proto.ShardResult;

/** The leader of the shard group: commits commands with a delay, recalls grants and has old incarnations fenced. */
final class OwnerModel {
    /** One round trip to a majority and a sync. */
    private static final long COMMIT_MICROS = 1_500;

    private static final long ELECTION_MICROS = 1_500_000;
    private static final long RECALL_PAUSE_MICROS = 3_000;
    private static final long FENCE_RESEND_MICROS = 1_000_000;

    private final EventQueue queue;
    private final Links links;
    private final GrantPolicy policy;
    private final boolean recalls;
    private final GroundTruth truth;
    private final Map<BudgetRef, Long> recalled = new HashMap<>();
    private final Set<String> fencing = new TreeSet<>();
    private ShardState shard;
    private Fleet fleet = Fleet.EMPTY;
    private int dataCenter;
    private long epoch;
    private long index;
    private boolean leading = true;

    OwnerModel(EventQueue queue, Links links, GrantPolicy policy, boolean recalls, GroundTruth truth, int dataCenter) {
        this.queue = queue;
        this.links = links;
        this.policy = policy;
        this.recalls = recalls;
        this.truth = truth;
        this.dataCenter = dataCenter;
        this.shard = new ShardState(policy);
    }

    void serve(Fleet servedFleet) {
        fleet = servedFleet;
    }

    ShardState shard() {
        return shard;
    }

    int dataCenter() {
        return dataCenter;
    }

    /** Tells whether a host of a data center reaches the leader. */
    boolean reachableFrom(int other) {
        return leading && links.connected(other, dataCenter);
    }

    /** Commits a command and answers. Commands that are not committed when the leader changes are lost. */
    void receive(ShardCommand command, Consumer<ShardResult> answer) {
        if (!leading) {
            return;
        }
        long proposedIn = epoch;
        queue.after(COMMIT_MICROS, () -> {
            if (leading && proposedIn == epoch) {
                answer.accept(commit(command));
            }
        });
    }

    private ShardResult commit(ShardCommand command) {
        byte[] entry = command.toBuilder().setNowMs(queue.wallMillis()).build().toByteArray();
        ShardResult result;
        try {
            result = ShardResult.parseFrom(shard.apply(++index, entry));
        } catch (com.google.protobuf.InvalidProtocolBufferException e) {
            throw new UncheckedIOException(e);
        }
        if (result.hasGrant() && result.getGrant().getOutcome() == GrantResult.Outcome.HELD) {
            recall(command.getRequestGrant().getBudget(), result.getGrant());
        }
        if (result.hasSessionOpened()) {
            result.getSessionOpened().getToFenceList().forEach(this::fence);
        }
        return result;
    }

    private void recall(BudgetRef budget, GrantResult held) {
        long last = recalled.getOrDefault(budget, Long.MIN_VALUE / 2);
        if (recalls && queue.micros() - last >= RECALL_PAUSE_MICROS) {
            recalled.put(budget, queue.micros());
            held.getHoldersList().forEach(h -> fleet.recall(dataCenter, h, budget));
        }
    }

    private void fence(String incarnation) {
        if (fencing.add(incarnation)) {
            commit(ShardCommand.newBuilder()
                    .setCloseSession(CloseSession.newBuilder()
                            .setIncarnation(incarnation)
                            .addAllAwaitedAgents(fleet.agentNames()))
                    .build());
            remindAgents(incarnation);
        }
    }

    private void remindAgents(String incarnation) {
        if (leading) {
            fleet.fence(dataCenter, incarnation);
        }
        queue.after(FENCE_RESEND_MICROS, () -> {
            boolean awaited = shard.summary().getGrants() > 0 && fencing.contains(incarnation);
            if (awaited) {
                remindAgents(incarnation);
            }
        });
    }

    /** Notes that all agents have confirmed. */
    void fenced(String incarnation) {
        fencing.remove(incarnation);
    }

    /** Applies a top-up as soon as there is a leader, and once more later, as a new leader would. */
    void topUp(Scenario.TimedTopUp t) {
        if (!leading) {
            queue.after(ELECTION_MICROS / 10, () -> topUp(t));
            return;
        }
        ShardCommand command = ShardCommand.newBuilder()
                .setApplyTopUps(org.ragwortrun.proto.ApplyTopUps.newBuilder().addTopUps(t.topUp()))
                .build();
        commit(command);
        queue.after(ELECTION_MICROS, () -> receive(command, r -> {}));
    }

    /** Elects a leader in another data center, which starts from a snapshot. */
    void moveTo(int other) {
        leading = false;
        epoch++;
        queue.after(ELECTION_MICROS, () -> {
            truth.checkStatement(shard);
            ByteArrayOutputStream snapshot = new ByteArrayOutputStream();
            ShardState restored = new ShardState(policy);
            try {
                shard.writeSnapshot(snapshot);
                restored.readSnapshot(new ByteArrayInputStream(snapshot.toByteArray()));
            } catch (IOException e) {
                throw new UncheckedIOException(e);
            }
            shard = restored;
            dataCenter = other;
            leading = true;
        });
    }
}
