package org.ragwortrun.replication;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.TreeSet;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Function;
import java.util.stream.Stream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.ragwortrun.core.time.Time;

/** Tests of several hosts in one process that communicate over TCP on loopback. */
final class GroupHostTest {
    @TempDir
    Path folder;

    private TestCluster cluster;

    @BeforeEach
    void create() throws Exception {
        cluster = new TestCluster(folder, 3, "c1", "c2", "c3");
    }

    @AfterEach
    void stop() {
        cluster.close();
    }

    /** Guards against a group that does not replicate, or replies before it has applied a command. */
    @Test
    void replicatesToAllMembers() throws Exception {
        cluster.startAll();
        List<String> sent = proposeMany("a", 50);
        for (TestCluster.Node node : cluster.running().values()) {
            TestCluster.await(
                    "all commands", () -> node.machines.get(1).commands().equals(sent));
        }
    }

    /** Guards against a member that is never reopened after a failed write because its owner is not notified. */
    @Test
    void notifiesListenerOfStorageFailure() throws Exception {
        cluster = new TestCluster(folder.resolve("one"), 2, "c1");
        cluster.start(cluster.settings("c1").withSnapshotLimits(50, 1 << 20), Time.system());
        proposeMany("a", 10);
        CountDownLatch notified = new CountDownLatch(1);
        cluster.node("c1").onFailure(notified::countDown);
        cluster.wipe("c1");
        ReplicatedGroup group = cluster.node("c1").group(1);
        for (int i = 0; i < 60; i++) {
            group.propose(("b" + i).getBytes(StandardCharsets.UTF_8));
        }
        assertThat(notified.await(10, TimeUnit.SECONDS)).isTrue();
        // The first notification may be that of the other group, whose files are gone too.
        TestCluster.await("the stop of the group", () -> group.status().role() == GroupStatus.Role.STOPPED);
    }

    /** Guards against a member without heartbeats and elections after one error in its periodic task. */
    @Test
    void electsLeaderAfterErrorInPeriodicTask() throws Exception {
        cluster = new TestCluster(folder.resolve("one"), 2, "c1");
        AtomicBoolean failed = new AtomicBoolean();
        cluster.start(cluster.settings("c1"), new Time() {
            @Override
            public long nanos() {
                if (Thread.currentThread().getName().equals("replication-timer") && !failed.getAndSet(true)) {
                    throw new OutOfMemoryError("test");
                }
                return System.nanoTime();
            }

            @Override
            public long wallMillis() {
                return System.currentTimeMillis();
            }
        });
        cluster.awaitLeader(1);
        assertThat(failed.get()).isTrue();
    }

    /** Guards against a replica that skips a committed command after an error such as an exhausted heap. */
    @Test
    void stopsInsteadOfSkippingCommandAfterError() throws Exception {
        cluster = new TestCluster(folder.resolve("one"), 2, "c1");
        cluster.start("c1");
        proposeMany("a", 3);
        CountDownLatch notified = new CountDownLatch(1);
        cluster.node("c1").onFailure(notified::countDown);
        ListStateMachine machine = cluster.node("c1").machines.get(1);
        machine.onApply = () -> {
            machine.onApply = () -> {};
            throw new OutOfMemoryError("test");
        };
        ReplicatedGroup group = cluster.node("c1").group(1);
        for (int i = 0; i < 3; i++) {
            group.propose(("b" + i).getBytes(StandardCharsets.UTF_8));
        }
        assertThat(notified.await(10, TimeUnit.SECONDS)).isTrue();
        assertThat(machine.commands()).containsExactly("a0", "a1", "a2").inOrder();
    }

    /** Guards against data loss when a second member stops right after the wiped disk of another one was refilled. */
    @Test
    void keepsDataWhenSecondMemberStopsAfterRepair() throws Exception {
        cluster.startAll();
        List<String> sent = proposeMany("a", 100);
        String lostIdentity = identity("c3");
        cluster.stop("c3");
        cluster.wipe("c3");
        sent.addAll(proposeMany("b", 20));
        cluster.start("c3");
        String newIdentity = identity("c3");
        assertThat(newIdentity).isNotEqualTo(lostIdentity);
        TestCluster.await("c3 to replace its old identity", () -> isVoterEverywhere(newIdentity, lostIdentity));
        cluster.stop("c2");
        sent.addAll(proposeMany("c", 20));
        assertThat(cluster.node(cluster.awaitLeader(1)).machines.get(1).commands())
                .isEqualTo(sent);
        TestCluster.await(
                "all commands on c3",
                () -> cluster.node("c3").machines.get(1).commands().equals(sent));
    }

    /** Guards against a wiped member that votes or bootstraps a second group because its bootstrap list contains it. */
    @Test
    void wipedMemberDoesNotCountInQuorum() throws Exception {
        cluster.startAll();
        List<String> sent = proposeMany("a", 10);
        cluster.stop("c1");
        cluster.stop("c2");
        cluster.wipe("c1");
        cluster.start("c1");
        long end = System.nanoTime() + 8 * TestCluster.ELECTION.toNanos();
        while (System.nanoTime() < end) {
            assertThat(cluster.leaseHolder(1)).isEmpty();
            TimeUnit.MILLISECONDS.sleep(10);
        }
        assertThat(cluster.node("c1").group(1).status().role()).isEqualTo(GroupStatus.Role.LEARNER);
        cluster.start("c2");
        sent.addAll(proposeMany("b", 10));
        TestCluster.await(
                "all commands on c1",
                () -> cluster.node("c1").machines.get(1).commands().equals(sent));
    }

    /** Guards against a leader whose process was paused and resumed, and that serves reads after it has been replaced. */
    @Test
    void frozenLeaderRejectsReadsAfterReplacement() throws Exception {
        FreezableTime time = new FreezableTime();
        cluster.start("c1");
        cluster.start("c2");
        cluster.start(cluster.settings("c3"), time);
        // The third member is the preferred leader of group 2.
        TestCluster.await("c3 to lead", () -> cluster.leaseHolder(2).equals(Optional.of("c3")));
        TestCluster.Node frozen = cluster.node("c3");
        cluster.propose(2, "a");
        frozen.group(2).requireLease();
        cluster.running().remove("c3");
        time.freeze();
        CompletableFuture<Boolean> read = CompletableFuture.supplyAsync(() -> holdsLease(frozen));
        String next = cluster.awaitLeader(2);
        cluster.propose(2, "b");
        assertThat(next).isNotEqualTo("c3");
        assertThat(read.isDone()).isFalse();
        time.unfreeze();
        assertThat(read.get(5, TimeUnit.SECONDS)).isFalse();
        assertThat(holdsLease(frozen)).isFalse();
        TestCluster.await(
                "c3 to catch up", () -> frozen.machines.get(2).commands().equals(List.of("a", "b")));
        frozen.close();
    }

    /** Guards against lost entries and a slow replay when all members restart after hundreds of entries. */
    @Test
    void restartsAfterFiveHundredEntries() throws Exception {
        cluster.startAll();
        List<String> sent = proposeMany("a", 500);
        restartAll(cluster::settings);
        sent.addAll(proposeMany("b", 1));
        for (TestCluster.Node node : cluster.running().values()) {
            TestCluster.await(
                    "all commands", () -> node.machines.get(1).commands().equals(sent));
        }
    }

    /** Guards against lost or duplicate commands when members restart from snapshots and a wiped one receives one. */
    @Test
    void restartsAndRepairsFromSnapshots() throws Exception {
        for (String name : List.of("c1", "c2", "c3")) {
            cluster.start(cluster.settings(name).withSnapshotLimits(50, 1 << 20), Time.system());
        }
        List<String> sent = proposeMany("a", 320);
        for (TestCluster.Node node : cluster.running().values()) {
            TestCluster.await("a snapshot", () -> node.group(1).status().snapshotIndex() > 200);
        }
        restartAll(name -> cluster.settings(name).withSnapshotLimits(50, 1 << 20));
        sent.addAll(proposeMany("b", 10));
        String leader = cluster.awaitLeader(1);
        String victim = leader.equals("c2") ? "c3" : "c2";
        cluster.stop(victim);
        cluster.wipe(victim);
        cluster.start(cluster.settings(victim).withSnapshotLimits(50, 1 << 20), Time.system());
        for (TestCluster.Node node : cluster.running().values()) {
            TestCluster.await(
                    "all commands", () -> node.machines.get(1).commands().equals(sent));
        }
    }

    /** Guards against a member that serves from a damaged log, or that cannot rejoin after its folder was cleared. */
    @Test
    void rejectsDamagedLogUntilFolderIsCleared() throws Exception {
        cluster.startAll();
        List<String> sent = proposeMany("a", 30);
        cluster.stop("c2");
        Path log;
        try (Stream<Path> files = Files.list(cluster.folder("c2", 1))) {
            log = files.filter(f -> f.getFileName().toString().startsWith("log-"))
                    .findFirst()
                    .orElseThrow();
        }
        try (FileChannel out = FileChannel.open(log, StandardOpenOption.WRITE)) {
            out.write(ByteBuffer.wrap(new byte[] {'?'}), Files.size(log) / 2);
        }
        assertThrows(CorruptLogException.class, () -> cluster.start("c2"));
        cluster.wipe("c2");
        cluster.start("c2");
        TestCluster.await(
                "c2 to catch up",
                () -> cluster.node("c2").machines.get(1).commands().equals(sent));
    }

    /** Guards against commands that hang without a majority, or that are wrongly reported as not appended. */
    @Test
    void reportsUnknownOutcomeWithoutMajority() throws Exception {
        // The timeout is long enough for the command to be sent before the leader detects the lost quorum.
        for (String name : List.of("c1", "c2", "c3")) {
            cluster.start(cluster.settings(name).withElectionTimeout(Duration.ofMillis(1_500)), Time.system());
        }
        String leader = cluster.awaitLeader(1);
        for (String name : new TreeSet<>(cluster.running().keySet())) {
            if (!name.equals(leader)) {
                cluster.stop(name);
            }
        }
        CompletableFuture<byte[]> reply = cluster.node(leader).group(1).propose(new byte[] {1});
        ExecutionException e = assertThrows(ExecutionException.class, () -> reply.get(10, TimeUnit.SECONDS));
        assertThat(e).hasCauseThat().isInstanceOf(ProposalLostException.class);
        TestCluster.await("the lease to end", () -> cluster.leaseHolder(1).isEmpty());
    }

    /** Guards against memory that grows with the commands queued at a leader that makes no progress. */
    @Test
    void rejectsCommandsWhenQueueIsFull() throws Exception {
        FreezableTime time = new FreezableTime();
        cluster.start("c1");
        cluster.start("c2");
        cluster.start(cluster.settings("c3").withProposalQueueCapacity(4), time);
        TestCluster.await("c3 to lead", () -> cluster.leaseHolder(2).equals(Optional.of("c3")));
        ReplicatedGroup group = cluster.node("c3").group(2);
        time.freeze();
        List<CompletableFuture<byte[]>> replies = new ArrayList<>();
        // A step that read the clock before the freeze may still accept some commands.
        for (int i = 0; i < 64; i++) {
            replies.add(group.propose(("c" + i).getBytes(StandardCharsets.UTF_8)));
        }
        time.unfreeze();
        ExecutionException e =
                assertThrows(ExecutionException.class, () -> replies.get(63).get(5, TimeUnit.SECONDS));
        assertThat(e).hasCauseThat().isInstanceOf(OverloadedException.class);
    }

    /** Guards against two hosts that write to the same folder. */
    @Test
    void rejectsSecondHostOnSameFolder() throws Exception {
        cluster.start("c1");
        TestCluster other = new TestCluster(folder, 3, "c1");
        assertThrows(StorageException.class, () -> other.start("c1"));
        other.close();
    }

    /**
     * Guards against members that are in no other member's settings and receive no entries, so that nothing can be
     * committed after two initial members have been lost. The settings of each member list only the initial members.
     */
    @Test
    void unlistedMembersReplaceLostVoters() throws Exception {
        cluster = new TestCluster(folder.resolve("five"), 2, "c1", "c2", "c3", "c4", "c5");
        List<String> first = List.of("c1", "c2", "c3");
        for (String name : first) {
            cluster.start(cluster.settings(name, first), Time.system());
        }
        List<String> sent = proposeMany("a", 20);
        for (String added : List.of("c4", "c5")) {
            cluster.start(cluster.settings(added, first), Time.system());
            TestCluster.await(
                    "a learner",
                    () -> cluster.node(added).machines.get(1).commands().equals(sent));
            String lost = added.equals("c4") ? "c3" : "c2";
            String lostIdentity = identity(lost);
            cluster.stop(lost);
            TestCluster.await(added + " to replace " + lost, () -> isVoterEverywhere(identity(added), lostIdentity));
        }
        cluster.stop("c1");
        sent.addAll(proposeMany("b", 5));
        TestCluster.await(
                "all commands",
                () -> cluster.node("c4").machines.get(1).commands().equals(sent));
    }

    /** Guards against a member that cannot join because it is not in the bootstrap list. */
    @Test
    void unlistedMemberJoins() throws Exception {
        cluster = new TestCluster(folder.resolve("four"), 2, "c1", "c2", "c3", "c4");
        for (String name : List.of("c1", "c2", "c3")) {
            cluster.start(cluster.settings(name).withBootstrap(List.of("c1", "c2", "c3")), Time.system());
        }
        List<String> sent = proposeMany("a", 10);
        cluster.start(cluster.settings("c4").withBootstrap(List.of("c1", "c2", "c3")), Time.system());
        TestCluster.await(
                "all commands on c4",
                () -> cluster.node("c4").machines.get(1).commands().equals(sent));
        // Four voters tolerate no more failures than three, so the learner is promoted when a voter is unreachable.
        assertThat(cluster.node("c4").group(1).status().role()).isEqualTo(GroupStatus.Role.LEARNER);
        cluster.stop("c3");
        String identity = identity("c4");
        TestCluster.await("c4 to be a voter", () -> isVoterEverywhere(identity, ""));
        sent.addAll(proposeMany("b", 10));
        TestCluster.await(
                "all commands on c4",
                () -> cluster.node("c4").machines.get(1).commands().equals(sent));
    }

    /** Guards against one member leading all groups, and against commands lost during leadership transfers. */
    @Test
    void distributesLeadersOverMembers() throws Exception {
        cluster.startAll();
        List<String> sent = new ArrayList<>();
        for (int i = 0; !leaders().equals(List.of("c1", "c2", "c3")); i++) {
            sent.add("a" + i);
            cluster.propose(1, "a" + i);
            TimeUnit.MILLISECONDS.sleep(5);
            assertThat(i).isLessThan(4_000);
        }
        assertThat(new TreeSet<>(cluster.node("c2").machines.get(1).commands())).containsAtLeastElementsIn(sent);
    }

    /** Guards against a number of threads that grows with the number of groups. */
    @Test
    void manyGroupsShareFewThreads() throws Exception {
        cluster = new TestCluster(folder.resolve("many"), 65, "c1");
        cluster.start("c1");
        for (int group = 0; group < 65; group++) {
            assertThat(cluster.propose(group, "a")).isEqualTo("1");
        }
        long threads = Thread.getAllStackTraces().keySet().stream()
                .filter(t -> t.getName().startsWith("replication-"))
                .count();
        assertThat(threads).isAtMost(7);
    }

    private List<String> leaders() {
        return List.of(
                cluster.leaseHolder(0).orElse(""),
                cluster.leaseHolder(1).orElse(""),
                cluster.leaseHolder(2).orElse(""));
    }

    private void restartAll(Function<String, HostSettings> settings) throws Exception {
        List<String> names = List.copyOf(cluster.running().keySet());
        names.forEach(cluster::stop);
        for (String name : names) {
            cluster.start(settings.apply(name), Time.system());
        }
    }

    private List<String> proposeMany(String prefix, int count) throws InterruptedException {
        List<String> sent = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            sent.add(prefix + i);
            cluster.propose(1, prefix + i);
        }
        return sent;
    }

    private String identity(String name) {
        return cluster.node(name).group(1).status().self().identity();
    }

    private boolean isVoterEverywhere(String identity, String removed) {
        return cluster.running().values().stream().allMatch(node -> {
            List<String> voters = node.group(1).status().voters().stream()
                    .map(MemberId::identity)
                    .toList();
            return voters.contains(identity) && !voters.contains(removed);
        });
    }

    private static boolean holdsLease(TestCluster.Node node) {
        try {
            node.group(2).requireLease();
            return true;
        } catch (NotLeaderException e) {
            return false;
        }
    }
}
