package org.ragwortrun.replication.internal;

import com.google.protobuf.ByteString;
import com.google.protobuf.CodedInputStream;
import com.google.protobuf.UnsafeByteOperations;
import java.io.BufferedOutputStream;
import java.io.DataInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.nio.file.Files;
import java.nio.file.Path;
import org.jspecify.annotations.Nullable;
import org.ragwortrun.proto.SnapshotChunk;
import org.ragwortrun.replication.CorruptLogException;
import org.ragwortrun.replication.StateMachine;

/**
 * Reads and writes a snapshot as records: the first contains the position and member set, the following ones the state,
 * and the last marks the end.
 */
final class SnapshotFile {
    private static final int RECORD_BYTES = 64 << 10;

    private SnapshotFile() {}

    static void write(Path path, SnapshotMeta meta, StateMachine machine) throws IOException {
        try (RecordFile file = RecordFile.create(path)) {
            append(
                    file,
                    SnapshotChunk.newBuilder()
                            .setLastIndex(meta.index())
                            .setLastTerm(meta.term())
                            .setMembers(meta.members()));
            try (OutputStream out = new BufferedOutputStream(new RecordOutputStream(file), RECORD_BYTES)) {
                machine.writeSnapshot(out);
            }
            append(file, SnapshotChunk.newBuilder().setDone(true));
        }
    }

    /**
     * Checks every record and returns the position and member set.
     *
     * @throws CorruptLogException if the file is damaged or incomplete
     */
    static SnapshotMeta verify(Path path) throws IOException, CorruptLogException {
        @Nullable SnapshotMeta[] meta = {null};
        boolean[] done = {false};
        RecordFile.read(path, false, (offset, in) -> {
            SnapshotChunk chunk = SnapshotChunk.parseFrom(in);
            if (meta[0] == null) {
                meta[0] = new SnapshotMeta(chunk.getLastIndex(), chunk.getLastTerm(), chunk.getMembers());
            }
            done[0] = chunk.getDone();
        });
        SnapshotMeta found = meta[0];
        if (found == null || !done[0]) {
            throw new CorruptLogException(path, Files.size(path), "snapshot has no end record");
        }
        return found;
    }

    /** Opens the state in a verified file. */
    static InputStream open(Path path) throws IOException {
        return new RecordInputStream(new DataInputStream(Files.newInputStream(path)));
    }

    private static void append(RecordFile file, SnapshotChunk.Builder chunk) throws IOException {
        file.append(chunk.build().toByteString());
    }

    /** Splits the written state into records. */
    private static final class RecordOutputStream extends OutputStream {
        private final RecordFile file;

        RecordOutputStream(RecordFile file) {
            this.file = file;
        }

        @Override
        public void write(int b) throws IOException {
            write(new byte[] {(byte) b}, 0, 1);
        }

        @Override
        public void write(byte[] bytes, int from, int length) throws IOException {
            for (int at = 0; at < length; at += RECORD_BYTES) {
                int n = Math.min(RECORD_BYTES, length - at);
                ByteString data = UnsafeByteOperations.unsafeWrap(bytes, from + at, n);
                append(file, SnapshotChunk.newBuilder().setData(data));
            }
        }
    }

    /** Reads the state from consecutive records. */
    private static final class RecordInputStream extends InputStream {
        private final DataInputStream in;
        private InputStream record = nullInputStream();
        private boolean done;

        RecordInputStream(DataInputStream in) {
            this.in = in;
        }

        @Override
        public int read() throws IOException {
            byte[] one = new byte[1];
            return read(one, 0, 1) < 0 ? -1 : one[0] & 0xff;
        }

        @Override
        public int read(byte[] target, int from, int length) throws IOException {
            if (length == 0) {
                return 0;
            }
            int n = record.read(target, from, length);
            while (n < 0 && !done) {
                SnapshotChunk next = next();
                done = next.getDone();
                record = next.getData().newInput();
                n = record.read(target, from, length);
            }
            return n;
        }

        @Override
        public void close() throws IOException {
            in.close();
        }

        private SnapshotChunk next() throws IOException {
            int length = in.readInt();
            in.skipNBytes(RecordFile.HEADER_BYTES - Integer.BYTES);
            return SnapshotChunk.parseFrom(CodedInputStream.newInstance(in.readNBytes(length)));
        }
    }
}
