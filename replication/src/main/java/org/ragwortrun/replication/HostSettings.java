package org.ragwortrun.replication;

import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import org.ragwortrun.net.Address;

/**
 * Settings of a group host.
 *
 * @param name name of this member
 * @param folder data folder; each group has a folder below it
 * @param members addresses of all members by name, this one included
 * @param bootstrap names of the initial members; the first one creates the groups, see {@link GroupHost}
 * @param electionTimeout time without heartbeats after which followers may start an election; the lease is 0.8 times as long
 * @param threadsPerStage number of threads per stage (core, sync, apply), shared by the groups
 * @param proposalQueueCapacity maximum number of queued commands per group
 * @param snapshotEntries number of applied entries after which a snapshot is taken
 * @param snapshotBytes bytes of log after which a snapshot is taken
 * @param logBytes maximum size of the log entries that all groups together keep in memory
 */
public record HostSettings(
        String name,
        Path folder,
        Map<String, Address> members,
        List<String> bootstrap,
        Duration electionTimeout,
        int threadsPerStage,
        int proposalQueueCapacity,
        long snapshotEntries,
        long snapshotBytes,
        long logBytes) {

    // Three stages with two threads each serve 65 groups with six threads.
    private static final int DEFAULT_THREADS_PER_STAGE = 2;
    private static final int DEFAULT_PROPOSAL_QUEUE_CAPACITY = 4_096;
    /** Default number of applied entries after which a snapshot is taken. */
    public static final long SNAPSHOT_ENTRIES = 50_000;
    /** Default size of the log after which a snapshot is taken, if the limit of the log in memory allows it. */
    public static final long SNAPSHOT_BYTES = 8L << 20;
    // Part of the heap that log entries may fill. Queued commands, which are limited to the same size, messages and the
    // state of the groups need the rest.
    private static final int LOG_HEAP_SHARE = 8;

    public HostSettings {
        members = Map.copyOf(members);
        bootstrap = List.copyOf(bootstrap);
        if (!members.containsKey(name) || !members.keySet().containsAll(bootstrap)) {
            throw new IllegalArgumentException(
                    "members " + members.keySet() + " must contain " + name + " and the initial members " + bootstrap);
        }
    }

    /** Returns settings with the default sizes and an election timeout of one second. */
    public static HostSettings of(String name, Path folder, Map<String, Address> members, List<String> bootstrap) {
        return new HostSettings(
                name,
                folder,
                members,
                bootstrap,
                Duration.ofSeconds(1),
                DEFAULT_THREADS_PER_STAGE,
                DEFAULT_PROPOSAL_QUEUE_CAPACITY,
                SNAPSHOT_ENTRIES,
                SNAPSHOT_BYTES,
                Runtime.getRuntime().maxMemory() / LOG_HEAP_SHARE);
    }

    public HostSettings withElectionTimeout(Duration timeout) {
        return new HostSettings(
                name,
                folder,
                members,
                bootstrap,
                timeout,
                threadsPerStage,
                proposalQueueCapacity,
                snapshotEntries,
                snapshotBytes,
                logBytes);
    }

    public HostSettings withSnapshotLimits(long entries, long bytes) {
        return new HostSettings(
                name,
                folder,
                members,
                bootstrap,
                electionTimeout,
                threadsPerStage,
                proposalQueueCapacity,
                entries,
                bytes,
                logBytes);
    }

    public HostSettings withLogBytes(long bytes) {
        return new HostSettings(
                name,
                folder,
                members,
                bootstrap,
                electionTimeout,
                threadsPerStage,
                proposalQueueCapacity,
                snapshotEntries,
                snapshotBytes,
                bytes);
    }

    public HostSettings withProposalQueueCapacity(int size) {
        return new HostSettings(
                name,
                folder,
                members,
                bootstrap,
                electionTimeout,
                threadsPerStage,
                size,
                snapshotEntries,
                snapshotBytes,
                logBytes);
    }

    public HostSettings withBootstrap(List<String> names) {
        return new HostSettings(
                name,
                folder,
                members,
                names,
                electionTimeout,
                threadsPerStage,
                proposalQueueCapacity,
                snapshotEntries,
                snapshotBytes,
                logBytes);
    }
}
