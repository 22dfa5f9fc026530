package org.ragwortrun.replication.internal;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import com.google.protobuf.ByteString;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Optional;
import java.util.stream.LongStream;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.ragwortrun.proto.LogEntry;
import org.ragwortrun.proto.MemberSet;
import org.ragwortrun.proto.PersistedState;
import org.ragwortrun.proto.SnapshotChunk;
import org.ragwortrun.replication.CorruptLogException;
import org.ragwortrun.replication.ListStateMachine;

/** Ends a member at each step of its storage in turn, by a kill or a loss of power, and opens its folder again. */
final class InterruptedStorageTest {
    private static final int MAX_STEPS = 200;
    private static final Work NOTHING = (s, a) -> {};

    @TempDir
    Path root;

    private int runs;

    /** What a member has acknowledged: nothing of it may be lost. */
    private static final class Acknowledged {
        private long index;
        private long term;
    }

    /** Work of a member on its storage. */
    private interface Work {
        void run(GroupStorage storage, Acknowledged acknowledged) throws IOException, CorruptLogException;
    }

    /** Guards against a member that never starts again after it was interrupted during its first start. */
    @Test
    void startsAfterInterruptedFirstStart() throws Exception {
        interruptEachStep(Optional.empty(), NOTHING);
    }

    /** Guards against a member that never starts again after it was interrupted while it replaced its log. */
    @Test
    void startsAfterInterruptedInstallation() throws Exception {
        interruptEachStep(Optional.of(this::appendFiles), this::install);
    }

    /** Guards against a member without entries that never starts again after an interrupted installation. */
    @Test
    void startsAfterInterruptedInstallationOfJoiningMember() throws Exception {
        interruptEachStep(Optional.of(NOTHING), this::install);
    }

    /** Guards against a member that never starts again after it was interrupted while a snapshot replaced log files. */
    @Test
    void startsAfterInterruptedSnapshot() throws Exception {
        interruptEachStep(Optional.of(this::appendFiles), this::takeSnapshot);
    }

    /** Guards against a repair of an interrupted installation that is interrupted itself. */
    @Test
    void startsAfterInterruptedRepair() throws Exception {
        interruptEachStep(
                Optional.of((s, a) -> {
                    appendFiles(s, a);
                    receiveSnapshot(s, a);
                }),
                NOTHING);
    }

    /** Runs the preparation, then ends the process at each step of opening the folder and of the work. */
    private void interruptEachStep(Optional<Work> preparation, Work work) throws Exception {
        boolean done = false;
        for (int steps = 0; !done; steps++) {
            assertThat(steps).isLessThan(MAX_STEPS);
            int unsynced = interrupt(preparation, work, steps, 0);
            done = unsynced < 0;
            for (int lost = 1; lost < 1 << Math.max(0, unsynced); lost++) {
                interrupt(preparation, work, steps, lost);
            }
        }
    }

    /** Returns the number of unsynced changes when the process ended, or -1 if the work was done before. */
    private int interrupt(Optional<Work> preparation, Work work, int steps, int lost) throws Exception {
        runs++;
        Path folder = root.resolve("run-" + runs);
        Path copies = Files.createDirectory(root.resolve("copies-" + runs));
        Acknowledged acknowledged = new Acknowledged();
        if (preparation.isPresent()) {
            try (GroupStorage storage = open(folder).storage()) {
                preparation.get().run(storage, acknowledged);
            }
        }
        InterruptibleDirectory directory = new InterruptibleDirectory(DiskDirectory.open(folder), copies, steps);
        boolean done = false;
        try (GroupStorage storage = GroupStorage.open(directory, () -> "c1@1").storage()) {
            work.run(storage, acknowledged);
            done = true;
        } catch (InterruptibleDirectory.Interrupted e) {
            directory.lose(lost);
        }
        String at =
                "after " + steps + " steps, lost changes " + Integer.toBinaryString(lost) + ", files " + names(folder);
        RestoredState restored = reopen(folder, at);
        assertWithMessage(at).that(lastIndex(restored)).isAtLeast(acknowledged.index);
        if (preparation.isPresent()) {
            assertWithMessage(at).that(restored.state().getIdentity()).isEqualTo("c1@1");
            assertWithMessage(at).that(restored.state().getTerm()).isEqualTo(acknowledged.term);
        }
        return done ? -1 : directory.unsyncedChanges();
    }

    private static GroupStorage.Opened open(Path folder) throws IOException, CorruptLogException {
        return GroupStorage.open(folder, () -> "c1@1");
    }

    private static RestoredState reopen(Path folder, String at) throws IOException {
        try {
            GroupStorage.Opened opened = GroupStorage.open(folder, () -> "c1@2");
            opened.storage().close();
            return opened.restored();
        } catch (CorruptLogException e) {
            throw new AssertionError(at, e);
        }
    }

    /** Appends entries 1 to 6 in three log files. */
    private void appendFiles(GroupStorage storage, Acknowledged acknowledged) throws IOException {
        storage.saveState(PersistedState.newBuilder()
                .setIdentity("c1@1")
                .setTerm(1)
                .setStarted(true)
                .build());
        acknowledged.term = 1;
        storage.append(entries(1, 4));
        commitSnapshot(storage, 1);
        storage.append(entries(5, 5));
        commitSnapshot(storage, 2);
        storage.append(entries(6, 6));
        storage.sync();
        acknowledged.index = 6;
    }

    private void takeSnapshot(GroupStorage storage, Acknowledged acknowledged) throws IOException {
        commitSnapshot(storage, 5);
        storage.append(entries(7, 8));
        storage.sync();
        acknowledged.index = 8;
    }

    private static void commitSnapshot(GroupStorage storage, long index) throws IOException {
        SnapshotMeta meta = new SnapshotMeta(index, 1, MemberSet.getDefaultInstance());
        storage.writeSnapshot(meta, new ListStateMachine());
        storage.commitSnapshot(meta);
    }

    /** Installs a snapshot that conflicts with the log. */
    private void install(GroupStorage storage, Acknowledged acknowledged) throws IOException, CorruptLogException {
        receiveSnapshot(storage, acknowledged);
        storage.resetLog();
        storage.append(entries(10, 11));
        storage.sync();
        acknowledged.index = 11;
    }

    private void receiveSnapshot(GroupStorage storage, Acknowledged acknowledged)
            throws IOException, CorruptLogException {
        Path file = root.resolve("snapshot-of-leader-" + runs);
        SnapshotFile.write(file, new SnapshotMeta(9, 3, MemberSet.getDefaultInstance()), new ListStateMachine());
        storage.receive(SnapshotChunk.newBuilder()
                .setLastIndex(9)
                .setLastTerm(3)
                .setData(ByteString.copyFrom(Files.readAllBytes(file)))
                .setDone(true)
                .build());
        acknowledged.index = 9;
    }

    private static long lastIndex(RestoredState restored) {
        List<LogEntry> entries = restored.entries();
        return entries.isEmpty()
                ? restored.snapshot().index()
                : entries.get(entries.size() - 1).getIndex();
    }

    private static List<String> names(Path folder) throws IOException {
        try (Stream<Path> files = Files.list(folder)) {
            return files.map(f -> f.getFileName().toString()).sorted().toList();
        }
    }

    private static List<LogEntry> entries(long from, long to) {
        return LongStream.rangeClosed(from, to)
                .mapToObj(InterruptedStorageTest::entry)
                .toList();
    }

    private static LogEntry entry(long index) {
        return LogEntry.newBuilder()
                .setIndex(index)
                .setTerm(index > 9 ? 3 : 1)
                .setCommand(ByteString.copyFromUtf8("command " + index))
                .build();
    }
}
