package org.ragwortrun.ledger.internal;

import com.google.protobuf.MessageLite;
import com.google.protobuf.Parser;
import java.io.DataInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;

/** Reads the fields of a snapshot in the order in which {@link SnapshotWriter} wrote them. */
public final class SnapshotReader {
    private final DataInputStream in;

    public SnapshotReader(InputStream in) {
        this.in = new DataInputStream(in);
    }

    public long number() throws IOException {
        return in.readLong();
    }

    public boolean flag() throws IOException {
        return in.readBoolean();
    }

    public String text() throws IOException {
        return new String(bytes(), StandardCharsets.UTF_8);
    }

    /** Reads a length-prefixed byte array. */
    public byte[] bytes() throws IOException {
        int length = in.readInt();
        byte[] value = in.readNBytes(Math.max(0, length));
        if (value.length != length) {
            throw new IOException("snapshot ends inside a field of " + length + " bytes");
        }
        return value;
    }

    public <T extends MessageLite> T message(Parser<T> parser) throws IOException {
        return parser.parseFrom(bytes());
    }

    /** Reads the size of a collection, then each element. */
    public void all(Element element) throws IOException {
        int size = in.readInt();
        if (size < 0) {
            throw new IOException("snapshot has a collection of " + size + " elements");
        }
        for (int i = 0; i < size; i++) {
            element.read();
        }
    }

    /** Reads a format number and fails if it is not the expected one. */
    public void expect(long format) throws IOException {
        long found = number();
        if (found != format) {
            throw new IOException("snapshot has format " + found + ", expected " + format);
        }
    }

    /** Reads a format number, fails if it is not between two known ones, and returns it. */
    public long expectBetween(long first, long last) throws IOException {
        long found = number();
        if (found < first || found > last) {
            throw new IOException("snapshot has format " + found + ", expected " + first + " to " + last);
        }
        return found;
    }

    /** Reads one element of a collection. */
    @FunctionalInterface
    public interface Element {
        void read() throws IOException;
    }
}
