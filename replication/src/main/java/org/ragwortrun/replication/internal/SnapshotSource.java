package org.ragwortrun.replication.internal;

import com.google.protobuf.ByteString;
import java.util.Optional;

/** Reads the current snapshot of this member in parts. */
public interface SnapshotSource {
    /**
     * Part of a snapshot.
     *
     * @param data bytes from the offset
     * @param done whether this is the last part
     */
    record Part(ByteString data, boolean done) {}

    /** Returns a part, or empty if the snapshot at this index no longer exists. */
    Optional<Part> read(long index, long offset, int maxBytes);
}
