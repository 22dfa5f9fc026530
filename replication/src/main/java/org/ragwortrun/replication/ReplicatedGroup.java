package org.ragwortrun.replication;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;

/** One replicated log with its state machine, as seen by the member in this process. */
public interface ReplicatedGroup extends AutoCloseable {
    /**
     * Appends a command and completes with the state machine's reply after the entry has been synced on a majority and
     * applied here. Dependents of the future run on the group's apply thread and must not block.
     *
     * <p>Fails with {@link NotLeaderException} or {@link OverloadedException} if the command was not appended, with
     * {@link CommandTooLargeException} if it never can be, and with {@link ProposalLostException} if it is unknown
     * whether the command will be applied.
     */
    CompletableFuture<byte[]> propose(byte[] command);

    /**
     * Returns normally if this member is the leader, currently holds the lease and has applied every entry that was
     * acknowledged before. A read of local state is valid if this call succeeds after the state was read.
     *
     * @throws NotLeaderException if this member may have been replaced
     */
    void requireLease() throws NotLeaderException;

    /** Returns the last known leader. */
    Optional<MemberId> leader();

    GroupStatus status();

    /** Stops this member's participation in the group until the process restarts. */
    @Override
    void close();
}
