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

/** The leader of the shard group: commits commands with a delay, recalls grants and fences old incarnations. */
final class OwnerModel {
    /** One round trip to a majority and a sync. */
    private static final long COMMIT_MICROS = 1_500;

    private static final long ELECTION_DELAY_MICROS = 1_500_000;
    private static final long MIN_RECALL_INTERVAL_MICROS = 3_000;
    private static final long FENCE_RESEND_MICROS = 1_000_000;

    private final EventQueue queue;
    private final Links links;
    private final GrantPolicy policy;
    private final boolean recalls;
    private final GroundTruth truth;
    private final Map<BudgetRef, Long> lastRecallMicros = new HashMap<>();
    private final Set<String> fencing = new TreeSet<>();
    private ShardState shard;
    private Fleet fleet = Fleet.EMPTY;
    private int dataCenter;
    private long epoch;
    private long index;
    private boolean hasLeader = true;

    OwnerModel(EventQueue queue, Links links, GrantPolicy policy, boolean recalls, GroundTruth truth, int dataCenter) {
        this.queue = queue;
        this.links = links;
        this.policy = policy;
        this.recalls = recalls;
        this.truth = truth;
        this.dataCenter = dataCenter;
        this.shard = new ShardState(policy);
    }

    void setFleet(Fleet servedFleet) {
        fleet = servedFleet;
    }

    ShardState shard() {
        return shard;
    }

    int dataCenter() {
        return dataCenter;
    }

    /** Tells whether a host in the given data center can reach the leader. */
    boolean isReachableFrom(int other) {
        return hasLeader && links.isConnected(other, dataCenter);
    }

    /** Commits a command after a delay and replies. Commands that are uncommitted when the leader changes are lost. */
    void propose(ShardCommand command, Consumer<ShardResult> reply) {
        if (!hasLeader) {
            return;
        }
        long proposedIn = epoch;
        queue.after(COMMIT_MICROS, () -> {
            if (hasLeader && proposedIn == epoch) {
                reply.accept(commit(command));
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
        long last = lastRecallMicros.getOrDefault(budget, Long.MIN_VALUE / 2);
        if (recalls && queue.micros() - last >= MIN_RECALL_INTERVAL_MICROS) {
            lastRecallMicros.put(budget, queue.micros());
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
            sendFence(incarnation);
        }
    }

    private void sendFence(String incarnation) {
        if (hasLeader) {
            fleet.fence(dataCenter, incarnation);
        }
        queue.after(FENCE_RESEND_MICROS, () -> {
            boolean awaited = shard.summary().getGrants() > 0 && fencing.contains(incarnation);
            if (awaited) {
                sendFence(incarnation);
            }
        });
    }

    /** Is notified that all agents have confirmed the fence of an incarnation. */
    void onFenceConfirmed(String incarnation) {
        fencing.remove(incarnation);
    }

    /** Applies a top-up as soon as there is a leader, and a second time later, as a new leader would. */
    void topUp(Scenario.TimedTopUp t) {
        if (!hasLeader) {
            queue.after(ELECTION_DELAY_MICROS / 10, () -> topUp(t));
            return;
        }
        ShardCommand command = ShardCommand.newBuilder()
                .setApplyTopUps(org.ragwortrun.proto.ApplyTopUps.newBuilder().addTopUps(t.topUp()))
                .build();
        commit(command);
        queue.after(ELECTION_DELAY_MICROS, () -> propose(command, r -> {}));
    }

    /** Elects a leader in another data center, which restores its state from a snapshot. */
    void electLeaderIn(int other) {
        hasLeader = false;
        epoch++;
        queue.after(ELECTION_DELAY_MICROS, () -> {
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
            hasLeader = true;
        });
    }
}
