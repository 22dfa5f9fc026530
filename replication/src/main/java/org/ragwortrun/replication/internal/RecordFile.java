package org.ragwortrun.replication.internal;

import com.google.protobuf.ByteString;
import com.google.protobuf.CodedInputStream;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.zip.CRC32C;
import org.ragwortrun.replication.CorruptLogException;

/**
 * File of records. A record consists of the length of the payload (4 bytes), CRC32C of the length (4 bytes), CRC32C of
 * the payload (4 bytes) and the payload.
 *
 * <p>The length has its own checksum, because a damaged length would make the rest of the file look like an incomplete
 * record, and synced entries would be truncated.
 */
final class RecordFile implements AutoCloseable {
    static final int HEADER_BYTES = 12;

    private final Path path;
    private final FileChannel channel;
    private long size;
    private boolean dirty;

    private RecordFile(Path path, FileChannel channel, long size) {
        this.path = path;
        this.channel = channel;
        this.size = size;
    }

    /** Receives the records of a file in order. */
    interface Reader {
        void record(long offset, CodedInputStream payload) throws IOException, CorruptLogException;
    }

    static RecordFile create(Path path) throws IOException {
        return new RecordFile(path, FileChannel.open(path, StandardOpenOption.CREATE_NEW, StandardOpenOption.WRITE), 0);
    }

    /** Opens a file for appending after its records have been read. */
    static RecordFile append(Path path) throws IOException {
        FileChannel channel = FileChannel.open(path, StandardOpenOption.WRITE);
        return new RecordFile(path, channel, channel.size());
    }

    /**
     * Reads all records.
     *
     * @param mayBeTorn whether the file may end in an incomplete record, which is then truncated
     * @return number of truncated bytes
     * @throws CorruptLogException if a checksum is wrong, or the last record is incomplete and {@code mayBeTorn} is false
     */
    static long read(Path path, boolean mayBeTorn, Reader reader) throws IOException, CorruptLogException {
        try (FileChannel in = FileChannel.open(path, StandardOpenOption.READ, StandardOpenOption.WRITE)) {
            long size = in.size();
            long offset = 0;
            ByteBuffer header = ByteBuffer.allocate(HEADER_BYTES);
            while (offset < size) {
                header.clear();
                readFully(in, header, offset);
                boolean torn = header.hasRemaining();
                int length = 0;
                if (!torn) {
                    length = header.getInt(0);
                    boolean valid = length > 0 && crc(header.array(), 0, 4) == header.getInt(4);
                    if (!valid && !isZero(in, offset, size)) {
                        throw new CorruptLogException(path, offset, "checksum of a record's length is wrong");
                    }
                    torn = !valid || offset + HEADER_BYTES + length > size;
                }
                if (torn) {
                    if (!mayBeTorn) {
                        throw new CorruptLogException(path, offset, "record is incomplete and is not in the last file");
                    }
                    in.truncate(offset);
                    in.force(true);
                    return size - offset;
                }
                ByteBuffer payload = ByteBuffer.allocate(length);
                readFully(in, payload, offset + HEADER_BYTES);
                if (crc(payload.array(), 0, length) != header.getInt(8)) {
                    throw new CorruptLogException(path, offset, "checksum of a record is wrong");
                }
                reader.record(offset, CodedInputStream.newInstance(payload.array()));
                offset += HEADER_BYTES + length;
            }
            return 0;
        }
    }

    void append(ByteString payload) throws IOException {
        channel.position(size);
        byte[] bytes = payload.toByteArray();
        ByteBuffer record = ByteBuffer.allocate(HEADER_BYTES + bytes.length);
        record.putInt(bytes.length);
        record.putInt(crc(record.array(), 0, 4));
        record.putInt(crc(bytes, 0, bytes.length));
        record.put(bytes).flip();
        while (record.hasRemaining()) {
            channel.write(record);
        }
        size += HEADER_BYTES + bytes.length;
        dirty = true;
    }

    void sync() throws IOException {
        if (dirty) {
            channel.force(false);
            dirty = false;
        }
    }

    long size() {
        return size;
    }

    Path path() {
        return path;
    }

    @Override
    public void close() throws IOException {
        channel.close();
    }

    private static void readFully(FileChannel in, ByteBuffer target, long offset) throws IOException {
        long at = offset;
        while (target.hasRemaining()) {
            int n = in.read(target, at);
            if (n < 0) {
                return;
            }
            at += n;
        }
    }

    /** Returns whether a range is all zeros, as the end of a file can be when a crash extended it without its data. */
    private static boolean isZero(FileChannel in, long from, long to) throws IOException {
        ByteBuffer buffer = ByteBuffer.allocate(64 << 10);
        for (long at = from; at < to; at += buffer.capacity()) {
            buffer.clear();
            readFully(in, buffer, at);
            for (int i = 0; i < buffer.position(); i++) {
                if (buffer.get(i) != 0) {
                    return false;
                }
            }
        }
        return true;
    }

    private static int crc(byte[] bytes, int from, int length) {
        CRC32C crc = new CRC32C();
        crc.update(bytes, from, length);
        return (int) crc.getValue();
    }
}
