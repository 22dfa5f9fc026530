package org.ragwortrun.replication.internal;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import com.google.protobuf.ByteString;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.Arrays;
import java.util.List;
import java.util.stream.LongStream;
import java.util.stream.Stream;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.ragwortrun.proto.LogEntry;
import org.ragwortrun.proto.MemberSet;
import org.ragwortrun.proto.PersistedState;
import org.ragwortrun.proto.SnapshotChunk;
import org.ragwortrun.replication.CorruptLogException;
import org.ragwortrun.replication.ListStateMachine;

final class GroupStorageTest {
    @TempDir
    Path root;

    private Path folder;

    @BeforeEach
    void setFolder() {
        folder = root.resolve("group-0");
    }

    /** Guards against state, votes or entries that do not survive a restart. */
    @Test
    void restoresStateAndEntries() throws Exception {
        try (GroupStorage storage = open().storage()) {
            storage.saveState(state(7));
            storage.append(entries(1, 5, 1));
            storage.append(entries(4, 6, 2));
            storage.sync();
        }
        RestoredState restored = open().restored();
        assertThat(restored.state()).isEqualTo(state(7));
        assertThat(terms(restored.entries()))
                .containsExactly(1L, 1L, 1L, 2L, 2L, 2L)
                .inOrder();
    }

    /** Guards against a member that cannot start after a crash during a write. */
    @Test
    void truncatesTornTailAtEveryLength() throws Exception {
        try (GroupStorage storage = open().storage()) {
            storage.append(entries(1, 2, 1));
            storage.sync();
        }
        long intact = Files.size(lastLog());
        try (GroupStorage storage = open().storage()) {
            storage.append(entries(3, 3, 1));
            storage.sync();
        }
        byte[] all = Files.readAllBytes(lastLog());
        for (int length = (int) intact + 1; length < all.length; length++) {
            Files.write(lastLog(), Arrays.copyOf(all, length));
            GroupStorage.Opened opened = open();
            opened.storage().close();
            assertThat(opened.restored().entries()).hasSize(2);
            assertThat(opened.truncatedBytes()).isEqualTo(length - intact);
            assertThat(Files.size(lastLog())).isEqualTo(intact);
        }
    }

    /** Guards against a member that cannot start after a crash extended a file without writing its data. */
    @Test
    void truncatesZeroFilledTail() throws Exception {
        try (GroupStorage storage = open().storage()) {
            storage.append(entries(1, 2, 1));
            storage.sync();
        }
        Files.write(lastLog(), new byte[5_000], StandardOpenOption.APPEND);
        assertThat(open().restored().entries()).hasSize(2);
    }

    /** Guards against synced entries that are truncated or accepted after a byte of the file has changed. */
    @Test
    void rejectsEveryFlippedByteOfSyncedEntries() throws Exception {
        try (GroupStorage storage = open().storage()) {
            for (long i = 1; i <= 4; i++) {
                storage.append(entries(i, i, 1));
            }
            storage.sync();
        }
        byte[] all = Files.readAllBytes(lastLog());
        for (int i = 0; i < all.length; i++) {
            byte[] damaged = all.clone();
            damaged[i] ^= 0x10;
            Files.write(lastLog(), damaged);
            assertThrows(CorruptLogException.class, this::open, "byte " + i);
        }
    }

    /** Guards against a member that votes again after its state record was lost. */
    @Test
    void rejectsLogWithoutState() throws Exception {
        try (GroupStorage storage = open().storage()) {
            storage.append(entries(1, 1, 1));
            storage.sync();
        }
        Files.delete(folder.resolve("state"));
        assertThrows(CorruptLogException.class, this::open);
    }

    /** Guards against a member that keeps its identity, and therefore its vote, after its log was deleted. */
    @Test
    void rejectsStateWithoutLog() throws Exception {
        open().storage().close();
        Files.delete(lastLog());
        assertThrows(CorruptLogException.class, this::open);
    }

    /** Guards against lost or duplicate entries after a crash between a snapshot and the deletion of the log before it. */
    @Test
    void restartsBetweenSnapshotAndTruncation() throws Exception {
        ListStateMachine machine = new ListStateMachine();
        machine.apply(1, "a".getBytes(StandardCharsets.UTF_8));
        Path kept = folder.resolveSibling("kept");
        try (GroupStorage storage = open().storage()) {
            storage.append(entries(1, 10, 1));
            storage.sync();
            Files.createDirectories(kept);
            Files.copy(lastLog(), kept.resolve(lastLog().getFileName()));
            SnapshotMeta meta = new SnapshotMeta(6, 1, MemberSet.getDefaultInstance());
            storage.writeSnapshot(meta, machine);
            storage.commitSnapshot(meta);
            storage.append(entries(11, 12, 1));
            storage.sync();
        }
        assertThat(open().restored().entries()).hasSize(6);
        try (Stream<Path> logs = Files.list(folder)) {
            for (Path log : logs.filter(f -> f.getFileName().toString().startsWith("log-"))
                    .toList()) {
                Files.delete(log);
            }
        }
        // Restores the log as it was right after the snapshot was renamed.
        try (Stream<Path> logs = Files.list(kept)) {
            for (Path log : logs.toList()) {
                Files.copy(log, folder.resolve(log.getFileName()));
            }
        }
        GroupStorage.Opened opened = open();
        assertThat(opened.restored().snapshot().index()).isEqualTo(6);
        assertThat(indexes(opened.restored().entries()))
                .containsExactly(7L, 8L, 9L, 10L)
                .inOrder();
        ListStateMachine restored = new ListStateMachine();
        opened.storage().restore(6, restored);
        assertThat(restored.commands()).containsExactly("a");
    }

    /** Guards against a log that conflicts with an installed snapshot and is replayed after a crash. */
    @Test
    void dropsLogThatConflictsWithInstalledSnapshot() throws Exception {
        byte[] snapshot = snapshotFile(5, 3);
        try (GroupStorage storage = open().storage()) {
            storage.append(entries(1, 9, 1));
            storage.sync();
            storage.receive(chunk(snapshot, 5, 3, 0, 10));
            storage.receive(chunk(snapshot, 5, 3, 10, snapshot.length));
        }
        try (GroupStorage storage = open().storage()) {
            storage.append(entries(6, 6, 3));
            storage.sync();
        }
        RestoredState restored = open().restored();
        assertThat(restored.snapshot().index()).isEqualTo(5);
        assertThat(terms(restored.entries())).containsExactly(3L);
    }

    /** Guards against an undetected gap in the log when a file in the middle is missing. */
    @Test
    void rejectsMissingLogFile() throws Exception {
        try (GroupStorage storage = open().storage()) {
            for (long i = 1; i <= 12; i++) {
                storage.append(List.of(entry(i, 1).toBuilder()
                        .setCommand(ByteString.copyFrom(new byte[1 << 20]))
                        .build()));
            }
            storage.sync();
        }
        Files.delete(folder.resolve("log-" + String.format("%019d", 2)));
        assertThrows(CorruptLogException.class, this::open);
    }

    /** Guards against a damaged snapshot that is loaded as state. */
    @Test
    void rejectsDamagedSnapshot() throws Exception {
        Path file;
        try (GroupStorage storage = open().storage()) {
            SnapshotMeta meta = new SnapshotMeta(1, 1, MemberSet.getDefaultInstance());
            ListStateMachine machine = new ListStateMachine();
            machine.apply(1, "abc".getBytes(StandardCharsets.UTF_8));
            storage.append(entries(1, 1, 1));
            storage.writeSnapshot(meta, machine);
            storage.commitSnapshot(meta);
            file = folder.resolve("snapshot-" + String.format("%019d", 1));
        }
        try (FileChannel out = FileChannel.open(file, StandardOpenOption.WRITE)) {
            out.write(ByteBuffer.wrap(new byte[] {'x'}), Files.size(file) / 2);
        }
        assertThrows(CorruptLogException.class, this::open);
    }

    private byte[] snapshotFile(long index, long term) throws IOException {
        Path file = folder.resolveSibling("other-snapshot");
        SnapshotFile.write(file, new SnapshotMeta(index, term, MemberSet.getDefaultInstance()), new ListStateMachine());
        return Files.readAllBytes(file);
    }

    private static SnapshotChunk chunk(byte[] file, long index, long term, int from, int to) {
        return SnapshotChunk.newBuilder()
                .setLastIndex(index)
                .setLastTerm(term)
                .setOffset(from)
                .setData(ByteString.copyFrom(file, from, to - from))
                .setDone(to == file.length)
                .build();
    }

    private GroupStorage.Opened open() throws IOException, CorruptLogException {
        return GroupStorage.open(folder, () -> "c1@1");
    }

    private Path lastLog() throws IOException {
        try (Stream<Path> files = Files.list(folder)) {
            return files.filter(f -> f.getFileName().toString().startsWith("log-"))
                    .max(Path::compareTo)
                    .orElseThrow();
        }
    }

    private static PersistedState state(long term) {
        return PersistedState.newBuilder()
                .setIdentity("c1@1")
                .setTerm(term)
                .setVote("c2@1")
                .setStarted(true)
                .build();
    }

    private static List<LogEntry> entries(long from, long to, long term) {
        return LongStream.rangeClosed(from, to).mapToObj(i -> entry(i, term)).toList();
    }

    private static LogEntry entry(long index, long term) {
        return LogEntry.newBuilder()
                .setIndex(index)
                .setTerm(term)
                .setCommand(ByteString.copyFromUtf8("command " + index))
                .build();
    }

    private static List<Long> terms(List<LogEntry> entries) {
        return entries.stream().map(LogEntry::getTerm).toList();
    }

    private static List<Long> indexes(List<LogEntry> entries) {
        return entries.stream().map(LogEntry::getIndex).toList();
    }
}
