package org.ragwortrun.replication.internal;

import org.ragwortrun.proto.MemberSet;

/** Position and member set of a snapshot. Index 0 means that there is no snapshot. */
public record SnapshotMeta(long index, long term, MemberSet members) {
    public static final SnapshotMeta NONE = new SnapshotMeta(0, 0, MemberSet.getDefaultInstance());
}
