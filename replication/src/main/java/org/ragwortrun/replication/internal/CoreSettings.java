package org.ragwortrun.replication.internal;

import java.util.List;
import org.ragwortrun.proto.Member;

/**
 * Fixed parameters of a Raft core. Durations are in nanoseconds.
 *
 * @param name name of this member
 * @param address address of this member, for the member set
 * @param others names of the other configured members
 * @param bootstrap names of the initial members; the first one bootstraps the group
 * @param electionTimeout minimum time without heartbeats before an election
 * @param heartbeat time between heartbeats
 * @param preferred name of the member that should lead the group while it is available, empty for none
 * @param batchBytes maximum size of the entries in one message
 * @param chunkBytes maximum size of a snapshot part in one message
 * @param retainedEntries maximum number of entries before a snapshot that are kept for followers that lag slightly
 * @param logBytes size of the entries in memory above which a leader accepts no commands
 * @param maxInFlightEntries maximum number of unacknowledged entries sent to one follower
 * @param maxUncommittedEntries maximum number of uncommitted entries of a leader
 */
public record CoreSettings(
        String name,
        String address,
        List<String> others,
        List<String> bootstrap,
        long electionTimeout,
        long heartbeat,
        String preferred,
        int batchBytes,
        int chunkBytes,
        int retainedEntries,
        long logBytes,
        int maxInFlightEntries,
        int maxUncommittedEntries) {

    private static final int BATCH_BYTES = 1 << 20;
    private static final int CHUNK_BYTES = 512 << 10;
    private static final int RETAINED_ENTRIES = 1_000;
    private static final long LOG_BYTES = 64L << 20;
    private static final int MAX_IN_FLIGHT_ENTRIES = 1_024;
    private static final int MAX_UNCOMMITTED_ENTRIES = 8_192;
    // Four heartbeats may be lost within the lease of 0.8 election timeouts.
    private static final int HEARTBEATS_PER_TIMEOUT = 6;

    public static CoreSettings of(
            String name,
            String address,
            List<String> others,
            List<String> bootstrap,
            long electionTimeout,
            String preferred) {
        return new CoreSettings(
                name,
                address,
                List.copyOf(others),
                List.copyOf(bootstrap),
                electionTimeout,
                electionTimeout / HEARTBEATS_PER_TIMEOUT,
                preferred,
                BATCH_BYTES,
                CHUNK_BYTES,
                RETAINED_ENTRIES,
                LOG_BYTES,
                MAX_IN_FLIGHT_ENTRIES,
                MAX_UNCOMMITTED_ENTRIES);
    }

    public CoreSettings withLogBytes(long bytes) {
        return new CoreSettings(
                name,
                address,
                others,
                bootstrap,
                electionTimeout,
                heartbeat,
                preferred,
                batchBytes,
                chunkBytes,
                retainedEntries,
                bytes,
                maxInFlightEntries,
                maxUncommittedEntries);
    }

    public CoreSettings withSizes(int newBatchBytes, int newChunkBytes, int newRetainedEntries) {
        return new CoreSettings(
                name,
                address,
                others,
                bootstrap,
                electionTimeout,
                heartbeat,
                preferred,
                newBatchBytes,
                newChunkBytes,
                newRetainedEntries,
                logBytes,
                maxInFlightEntries,
                maxUncommittedEntries);
    }

    /** Returns the maximum size of the entries before a snapshot that are kept for followers that lag slightly. */
    public long retainedBytes() {
        return logBytes / 4;
    }

    /** Returns the size of the log below which entries before a snapshot are kept for active members that need them. */
    public long catchUpBytes() {
        return logBytes / 2;
    }

    /** Returns the size of the unacknowledged entries above which no more are sent to a follower. */
    public long inFlightBytes() {
        return logBytes / 4;
    }

    /** Returns the duration of a lease, counted from when the acknowledged heartbeats were sent. */
    public long lease() {
        return electionTimeout / 10 * 8;
    }

    /** Returns whether this member should lead the group. */
    public boolean isPreferred() {
        return preferred.equals(name);
    }

    /** Returns the entry of this member in a member set, with the given identity. */
    public Member self(String identity) {
        return Member.newBuilder()
                .setName(name)
                .setIdentity(identity)
                .setAddress(address)
                .build();
    }
}
