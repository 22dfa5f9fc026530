package org.ragwortrun.replication.internal;

import com.google.protobuf.ByteString;
import java.util.Optional;

/** Reads the current snapshot of this member in chunks. */
public interface SnapshotSource {
    /**
     * Part of a snapshot.
     *
     * @param data bytes from the offset
     * @param done whether the part ends the snapshot
     */
    record Part(ByteString data, boolean done) {}

    /** Returns a part, or empty if the snapshot of this index is no longer there. */
    Optional<Part> read(long index, long offset, int maxBytes);
}
