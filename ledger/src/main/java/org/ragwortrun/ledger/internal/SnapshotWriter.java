package org.ragwortrun.ledger.internal;

import com.google.protobuf.MessageLite;
import java.io.DataOutputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.Collection;

/** Writes the fields of a snapshot in big-endian binary form. */
public final class SnapshotWriter {
    private final DataOutputStream out;

    public SnapshotWriter(OutputStream out) {
        this.out = new DataOutputStream(out);
    }

    public void number(long value) throws IOException {
        out.writeLong(value);
    }

    public void flag(boolean value) throws IOException {
        out.writeBoolean(value);
    }

    public void text(String value) throws IOException {
        bytes(value.getBytes(StandardCharsets.UTF_8));
    }

    public void bytes(byte[] value) throws IOException {
        out.writeInt(value.length);
        out.write(value);
    }

    public void message(MessageLite value) throws IOException {
        bytes(value.toByteArray());
    }

    /** Writes the size of a collection, then each element. */
    public <T> void all(Collection<T> items, Element<T> element) throws IOException {
        out.writeInt(items.size());
        for (T item : items) {
            element.write(item);
        }
    }

    public void flush() throws IOException {
        out.flush();
    }

    /** Writes one element of a collection. */
    @FunctionalInterface
    public interface Element<T> {
        void write(T item) throws IOException;
    }
}
