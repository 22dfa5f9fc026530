package org.ragwortrun.router;

import static com.google.common.truth.Truth.assertThat;

import com.google.protobuf.ByteString;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import org.ragwortrun.core.id.Digests;
import org.ragwortrun.ledger.GrantPolicy;
import org.ragwortrun.ledger.MetaState;
import org.ragwortrun.ledger.ShardState;
import org.ragwortrun.net.FrameHandler;
import org.ragwortrun.net.Peer;
import org.ragwortrun.net.Replies;
import org.ragwortrun.proto.ApplyTopUps;
import org.ragwortrun.proto.BudgetRef;
import org.ragwortrun.proto.ConfigUpdate;
import org.ragwortrun.proto.CrashEvidence;
import org.ragwortrun.proto.CrashReport;
import org.ragwortrun.proto.EvacuationOrder;
import org.ragwortrun.proto.EvidenceRow;
import org.ragwortrun.proto.Frame;
import org.ragwortrun.proto.Heartbeat;
import org.ragwortrun.proto.MetaCommand;
import org.ragwortrun.proto.Section;
import org.ragwortrun.proto.ShardCommand;
import org.ragwortrun.proto.ShardReply;
import org.ragwortrun.proto.Statement;
import org.ragwortrun.proto.StatementQuery;
import org.ragwortrun.proto.TopUp;

/** A control member without replication, with the real shard state machines and the real transport. */
final class FakeControl implements FrameHandler {
    static final int SHARDS = 4;
    private static final int LEASE_MS = 3_000;

    final List<EvidenceRow> evidence = new CopyOnWriteArrayList<>();
    private final List<Peer> watchers = new CopyOnWriteArrayList<>();
    final List<ShardCommand> commands = new CopyOnWriteArrayList<>();
    volatile boolean leased = true;
    volatile boolean ignoresShardRequests;
    volatile boolean ignoresClaims;
    volatile boolean ignoresCrashReports;
    volatile boolean ignoresWatches;
    // Answers no call about the configuration.
    volatile boolean silent;
    private final Map<Integer, ShardState> shards = new ConcurrentHashMap<>();
    private final List<Section> sections = new ArrayList<>();
    private final List<CrashReport> suspects = new ArrayList<>();
    private final MetaState meta = new MetaState((previous, next, now) -> List.of());
    private volatile long number = 1;
    // Highest number that a router has confirmed.
    private volatile long confirmed;

    synchronized void putSection(String kind, String name, Map<String, String> properties) {
        sections.removeIf(s -> s.getKind().equals(kind) && s.getName().equals(name));
        sections.add(Section.newBuilder()
                .setKind(kind)
                .setName(name)
                .putAllProperties(properties)
                .build());
    }

    synchronized void refuseContent(byte[] digest) {
        suspects.add(CrashReport.newBuilder()
                .setDigest(ByteString.copyFrom(digest))
                .setRefused(true)
                .build());
        number++;
    }

    synchronized void quarantinePart(byte[] digest) {
        suspects.add(CrashReport.newBuilder()
                .setDigest(ByteString.copyFrom(digest))
                .setPart(true)
                .setRefused(true)
                .setLastCrashMs(System.currentTimeMillis())
                .build());
        number++;
    }

    synchronized void publish() {
        number++;
    }

    /** Orders that the evacuation of a data center begins or ends, without telling the routers. */
    synchronized void orderEvacuation(String dataCenter, boolean begin) {
        meta.apply(MetaCommand.newBuilder()
                .setNowMs(System.currentTimeMillis())
                .setEvacuation(
                        EvacuationOrder.newBuilder().setDataCenter(dataCenter).setBegin(begin))
                .build());
        number++;
    }

    /** Orders that the evacuation of a data center begins or ends, and waits until a router has confirmed it. */
    void evacuate(String dataCenter, boolean begin) throws InterruptedException {
        orderEvacuation(dataCenter, begin);
        sendToAll(Frame.newBuilder().setConfigUpdate(update()).build());
        awaitConfirmation();
    }

    /** Waits until a router has confirmed the newest configuration. */
    void awaitConfirmation() throws InterruptedException {
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(5);
        while (confirmed < number && System.nanoTime() < end) {
            TimeUnit.MILLISECONDS.sleep(5);
        }
        assertThat(confirmed).isAtLeast(number);
    }

    /** Sends a message to all routers that watch the configuration. */
    void sendToAll(Frame frame) {
        watchers.forEach(p -> p.send(frame));
    }

    void topUp(String account, String service, String id, long tokens) {
        apply(
                account,
                ShardCommand.newBuilder()
                        .setApplyTopUps(ApplyTopUps.newBuilder()
                                .addTopUps(TopUp.newBuilder()
                                        .setBudget(budget(account, service))
                                        .setId(id)
                                        .setTokens(tokens))));
    }

    Statement statement(String account) {
        return shard(Digests.shard(account, SHARDS))
                .statement(StatementQuery.newBuilder().setAccount(account).build());
    }

    void apply(String account, ShardCommand.Builder command) {
        shard(Digests.shard(account, SHARDS))
                .apply(command.setNowMs(System.currentTimeMillis()).build());
    }

    static BudgetRef budget(String account, String service) {
        return BudgetRef.newBuilder().setAccount(account).setService(service).build();
    }

    @Override
    public void onFrame(Peer peer, Frame f) {
        Frame.Builder reply = Replies.to(f);
        if (f.hasWatch() || f.hasConfirm()) {
            onConfigurationCall(peer, f, reply);
        } else if (f.hasCrashEvidence() && !ignoresCrashReports) {
            recordCrashes(f.getCrashEvidence());
            peer.send(
                    reply.setHeartbeat(Heartbeat.newBuilder().setNumber(number)).build());
        } else if (f.hasEvidence()) {
            evidence.addAll(f.getEvidence().getRowsList());
        } else if (f.getShardRequest().hasExplain()) {
            peer.send(reply.setShardReply(ShardReply.newBuilder()
                            .setExplanation(shard(f.getShardRequest().getGroup())
                                    .explain(f.getShardRequest().getExplain())))
                    .build());
        } else if (f.hasShardRequest()
                && !ignoresShardRequests
                && !(ignoresClaims && f.getShardRequest().getCommand().hasClaim())) {
            ShardCommand command = f.getShardRequest().getCommand().toBuilder()
                    .setNowMs(System.currentTimeMillis())
                    .build();
            commands.add(command);
            peer.send(reply.setShardReply(ShardReply.newBuilder()
                            .setCommand(shard(f.getShardRequest().getGroup()).apply(command)))
                    .build());
        }
    }

    private void onConfigurationCall(Peer peer, Frame f, Frame.Builder reply) {
        if (silent || (f.hasWatch() && ignoresWatches)) {
            return;
        }
        if (f.hasWatch()) {
            watchers.add(peer);
            peer.send(reply.setConfigUpdate(update()).build());
        } else {
            confirmed = Math.max(confirmed, f.getConfirm().getNumber());
            int lease = leased && f.getConfirm().getNumber() == number ? LEASE_MS : 0;
            peer.send(
                    reply.setHeartbeat(Heartbeat.newBuilder().setNumber(number).setLeaseMs(lease))
                            .build());
        }
    }

    private ShardState shard(int group) {
        return shards.computeIfAbsent(group, g -> new ShardState(GrantPolicy.demand()));
    }

    private synchronized void recordCrashes(CrashEvidence evidence) {
        long before = meta.number();
        meta.apply(MetaCommand.newBuilder()
                .setNowMs(System.currentTimeMillis())
                .setCrashEvidence(evidence)
                .build());
        if (meta.number() > before) {
            number++;
            watchers.forEach(
                    p -> p.send(Frame.newBuilder().setConfigUpdate(update()).build()));
        }
    }

    private synchronized ConfigUpdate update() {
        return ConfigUpdate.newBuilder()
                .setNumber(number)
                .addAllChanged(sections)
                .addAllSuspects(suspects)
                .addAllSuspects(meta.updateFrom(0).getSuspectsList())
                .addAllEvacuations(meta.evacuations())
                .build();
    }
}
