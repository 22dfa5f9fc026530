package org.ragwortrun.replication.internal;

import com.google.protobuf.ByteString;
import java.io.IOException;
import java.io.InputStream;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Supplier;
import java.util.stream.Stream;
import org.ragwortrun.proto.LogBatch;
import org.ragwortrun.proto.LogEntry;
import org.ragwortrun.proto.PersistedState;
import org.ragwortrun.proto.SnapshotChunk;
import org.ragwortrun.replication.CorruptLogException;
import org.ragwortrun.replication.StateMachine;

/**
 * Files of one group: the state record, the snapshot and the log.
 *
 * <p>Log files are append-only. An entry replaces an earlier entry with the same index and all that follow it, so
 * resolving a conflict needs no truncation that a crash could interrupt. The state record and snapshots are written to
 * a temporary file, which is synced and renamed.
 */
public final class GroupStorage implements SnapshotSource, AutoCloseable {
    private static final String STATE = "state";
    private static final String LOG = "log-";
    private static final String SNAPSHOT = "snapshot-";
    private static final String TEMPORARY = ".tmp";
    private static final String INCOMING = "incoming" + TEMPORARY;
    private static final long SEGMENT_BYTES = 4L << 20;

    private final Directory directory;
    private final Path folder;
    private final List<Segment> segments = new ArrayList<>();
    private RecordFile active;
    private long nextSegment;

    /** A log file and the highest index in it. */
    private static final class Segment {
        private final Path path;
        private long maxIndex;

        Segment(Path path) {
            this.path = path;
        }
    }

    private GroupStorage(Directory directory, RecordFile active) {
        this.directory = directory;
        folder = directory.path();
        this.active = active;
    }

    /** Opened storage, the state restored from it and the number of bytes truncated from its last log file. */
    public record Opened(GroupStorage storage, RestoredState restored, long truncatedBytes) {}

    /**
     * Opens the folder of a group, creating it with a new identity if it is empty.
     *
     * @throws CorruptLogException if stored data is damaged or missing
     */
    public static Opened open(Path folder, Supplier<String> newIdentity) throws IOException, CorruptLogException {
        return open(DiskDirectory.open(folder), newIdentity);
    }

    static Opened open(Directory directory, Supplier<String> newIdentity) throws IOException, CorruptLogException {
        Path folder = directory.path();
        for (Path file : list(folder, "", TEMPORARY)) {
            directory.delete(file);
        }
        List<Path> logs = list(folder, LOG, "");
        Path stateFile = folder.resolve(STATE);
        if (!Files.exists(stateFile)) {
            return create(directory, logs, newIdentity.get());
        }
        PersistedState[] state = {PersistedState.getDefaultInstance()};
        RecordFile.read(stateFile, false, (offset, in) -> state[0] = PersistedState.parseFrom(in));
        if (state[0].getIdentity().isEmpty()) {
            throw new CorruptLogException(stateFile, 0, "state record is empty");
        }
        List<Path> snapshots = list(folder, SNAPSHOT, "");
        SnapshotMeta snapshot =
                snapshots.isEmpty() ? SnapshotMeta.NONE : SnapshotFile.verify(snapshots.get(snapshots.size() - 1));
        if (logs.isEmpty()) {
            if (snapshots.isEmpty()) {
                throw new CorruptLogException(folder, 0, "log files are missing");
            }
            // All log files are deleted only after a snapshot that replaces them was synced.
            logs = List.of(firstLog(directory));
        }
        LogReplay replay = new LogReplay(snapshot);
        List<Segment> segments = new ArrayList<>();
        long truncated = 0;
        for (int i = 0; i < logs.size(); i++) {
            Segment segment = new Segment(logs.get(i));
            truncated += RecordFile.read(segment.path, i == logs.size() - 1, (offset, in) -> {
                for (LogEntry e : LogBatch.parseFrom(in).getEntriesList()) {
                    replay.add(segment.path, offset, e);
                    segment.maxIndex = Math.max(segment.maxIndex, e.getIndex());
                }
            });
            segments.add(segment);
        }
        List<LogEntry> tail = replay.tail(segments.get(0).path);
        GroupStorage storage = new GroupStorage(directory, RecordFile.append(logs.get(logs.size() - 1)));
        storage.segments.addAll(segments);
        storage.nextSegment = number(logs.get(logs.size() - 1), LOG) + 1;
        if (replay.isDropped()) {
            storage.resetLog();
        }
        return new Opened(storage, new RestoredState(state[0], snapshot, tail), truncated);
    }

    /** Replaces the state record. It is synced on return. */
    public void saveState(PersistedState state) throws IOException {
        Path temporary = folder.resolve(STATE + TEMPORARY);
        Files.deleteIfExists(temporary);
        try (RecordFile file = directory.create(temporary)) {
            file.append(state.toByteString());
            file.sync();
        }
        directory.replace(temporary, folder.resolve(STATE));
        directory.sync();
    }

    /** Appends entries as one record. They are durable after {@link #sync()}. */
    public void append(List<LogEntry> entries) throws IOException {
        if (active.size() >= SEGMENT_BYTES) {
            rollSegment();
        }
        active.append(LogBatch.newBuilder().addAllEntries(entries).build().toByteString());
        Segment last = segments.get(segments.size() - 1);
        last.maxIndex = Math.max(last.maxIndex, entries.get(entries.size() - 1).getIndex());
    }

    public void sync() throws IOException {
        active.sync();
    }

    /**
     * Stores a chunk of the leader's snapshot. After the last chunk, the snapshot is synced and becomes the current one.
     *
     * @throws CorruptLogException if the snapshot is damaged
     */
    public void receive(SnapshotChunk chunk) throws IOException, CorruptLogException {
        Path incoming = folder.resolve(INCOMING);
        if (chunk.getOffset() == 0) {
            Files.deleteIfExists(incoming);
        }
        try (FileChannel out = FileChannel.open(incoming, StandardOpenOption.CREATE, StandardOpenOption.WRITE)) {
            ByteBuffer data = chunk.getData().asReadOnlyByteBuffer();
            long at = chunk.getOffset();
            while (data.hasRemaining()) {
                at += out.write(data, at);
            }
            if (!chunk.getDone()) {
                return;
            }
            out.force(true);
        }
        SnapshotMeta meta = SnapshotFile.verify(incoming);
        if (meta.index() != chunk.getLastIndex()) {
            throw new CorruptLogException(incoming, 0, "snapshot is of index " + meta.index());
        }
        directory.replace(incoming, snapshotPath(meta.index()));
        directory.sync();
        deleteCoveredFiles(meta.index());
    }

    /** Writes a snapshot to a temporary file without syncing it. May run concurrently with appends to the log. */
    public void writeSnapshot(SnapshotMeta meta, StateMachine machine) throws IOException {
        Path temporary = temporarySnapshotPath(meta.index());
        Files.deleteIfExists(temporary);
        SnapshotFile.write(temporary, meta, machine);
    }

    /** Syncs a written snapshot, makes it the current one and deletes the log files that it covers. */
    public void commitSnapshot(SnapshotMeta meta) throws IOException {
        Path temporary = temporarySnapshotPath(meta.index());
        try (FileChannel file = FileChannel.open(temporary, StandardOpenOption.WRITE)) {
            file.force(true);
        }
        directory.replace(temporary, snapshotPath(meta.index()));
        directory.sync();
        deleteCoveredFiles(meta.index());
    }

    /** Replaces the state of a state machine with the snapshot at an index. */
    public void restore(long index, StateMachine machine) throws IOException {
        try (InputStream in = SnapshotFile.open(snapshotPath(index))) {
            machine.readSnapshot(in);
        }
    }

    /** Starts a new log file and deletes all others, which the snapshot replaces. */
    public void resetLog() throws IOException {
        // The new file is created first, because a folder without log files cannot be told from a damaged one.
        rollSegment();
        // Deletes the newest file first: after a crash, the remaining prefix does not reach the snapshot and is
        // discarded on start.
        for (int i = segments.size() - 2; i >= 0; i--) {
            directory.delete(segments.remove(i).path);
            directory.sync();
        }
    }

    @Override
    public Optional<Part> read(long index, long offset, int maxBytes) {
        try (FileChannel in = FileChannel.open(snapshotPath(index), StandardOpenOption.READ)) {
            long size = in.size();
            ByteBuffer data = ByteBuffer.allocate((int) Math.max(0, Math.min(maxBytes, size - offset)));
            while (data.hasRemaining() && in.read(data, offset + data.position()) >= 0) {
                // reads until the part is complete
            }
            data.flip();
            return Optional.of(new Part(ByteString.copyFrom(data), offset + data.limit() >= size));
        } catch (IOException e) {
            // A newer snapshot has replaced the file; the sender restarts with that one.
            return Optional.empty();
        }
    }

    @Override
    public void close() throws IOException {
        active.close();
    }

    private static Opened create(Directory directory, List<Path> logs, String identity)
            throws IOException, CorruptLogException {
        Path folder = directory.path();
        for (Path log : logs) {
            if (Files.size(log) > 0) {
                throw new CorruptLogException(folder, 0, "state record is missing");
            }
            directory.delete(log);
        }
        if (!list(folder, SNAPSHOT, "").isEmpty()) {
            throw new CorruptLogException(folder, 0, "state record is missing");
        }
        Path first = firstLog(directory);
        GroupStorage storage = new GroupStorage(directory, RecordFile.append(first));
        storage.segments.add(new Segment(first));
        storage.nextSegment = 2;
        PersistedState state = PersistedState.newBuilder().setIdentity(identity).build();
        storage.saveState(state);
        return new Opened(storage, new RestoredState(state, SnapshotMeta.NONE, List.of()), 0);
    }

    /** Creates the first log file. It is durable before the state record that requires it. */
    private static Path firstLog(Directory directory) throws IOException {
        Path first = logPath(directory.path(), 1);
        directory.create(first).close();
        directory.sync();
        return first;
    }

    private void rollSegment() throws IOException {
        // Synced first, because only the last file may end in an incomplete record.
        active.sync();
        active.close();
        openSegment();
    }

    private void openSegment() throws IOException {
        Path path = logPath(folder, nextSegment);
        nextSegment++;
        active = directory.create(path);
        directory.sync();
        segments.add(new Segment(path));
    }

    private void deleteCoveredFiles(long index) throws IOException {
        for (Path old : list(folder, SNAPSHOT, "")) {
            if (number(old, SNAPSHOT) < index) {
                directory.delete(old);
            }
        }
        if (active.size() > 0) {
            rollSegment();
        }
        while (segments.size() > 1 && segments.get(0).maxIndex <= index) {
            directory.delete(segments.remove(0).path);
        }
        directory.sync();
    }

    private Path snapshotPath(long index) {
        return folder.resolve(SNAPSHOT + digits(index));
    }

    private Path temporarySnapshotPath(long index) {
        return folder.resolve(SNAPSHOT + digits(index) + TEMPORARY);
    }

    private static Path logPath(Path folder, long number) {
        return folder.resolve(LOG + digits(number));
    }

    private static String digits(long number) {
        return String.format("%019d", number);
    }

    private static long number(Path path, String prefix) {
        return Long.parseLong(path.getFileName().toString().substring(prefix.length()));
    }

    private static List<Path> list(Path folder, String prefix, String suffix) throws IOException {
        try (Stream<Path> files = Files.list(folder)) {
            return files.filter(f -> f.getFileName().toString().startsWith(prefix)
                            && f.getFileName().toString().endsWith(suffix))
                    .filter(f ->
                            !suffix.isEmpty() || !f.getFileName().toString().endsWith(TEMPORARY))
                    .sorted()
                    .toList();
        } catch (NoSuchFileException e) {
            return List.of();
        }
    }
}
