package org.ragwortrun.replication.internal;

import static com.google.common.truth.Truth.assertThat;

import com.google.protobuf.ByteString;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.ragwortrun.proto.GroupMessage;
import org.ragwortrun.proto.LogEntry;

/** Large commands fill the heap of a member long before limits on the number of entries are reached. */
final class LogSizeTest {
    private static final int COMMAND_BYTES = 100 << 10;
    private static final long LOG_BYTES = 2 << 20;
    private static final int COMMANDS = 100;

    private final CoreFixture fixture = new CoreFixture("c1", LOG_BYTES);
    private final RaftCore core = fixture.core;
    private long now;

    @BeforeEach
    void lead() {
        now = fixture.lead();
        fixture.sync(now);
        fixture.receiveAck(now, "c2#1", core.lastIndex(), now);
    }

    /** Guards against entries that snapshots cover and that fill the heap because only their number is limited. */
    @Test
    void keepsEntriesBeforeSnapshotUpToSize() {
        for (int i = 0; i < COMMANDS; i++) {
            assertThat(propose()).isGreaterThan(0);
            fixture.sync(now);
            fixture.receiveAck(now, "c2#1", core.lastIndex(), now);
            fixture.receiveAck(now, "c3#1", core.lastIndex(), now);
            core.onSnapshotStored(now, new SnapshotMeta(core.commitIndex(), core.term(), CoreFixture.SET));
            assertThat(core.logBytes()).isAtMost(LOG_BYTES);
        }
        assertThat(core.entriesFrom(0).size()).isGreaterThan(1);
    }

    /** Guards against a leader without a quorum whose uncommitted entries fill the heap. */
    @Test
    void acceptsNoCommandsWhileLogIsFull() {
        int accepted = 0;
        while (accepted < COMMANDS && propose() > 0) {
            fixture.sync(now);
            accepted++;
        }
        assertThat(core.logBytes()).isAtMost(LOG_BYTES + 2 * COMMAND_BYTES);
        assertThat(accepted).isGreaterThan(1);
        fixture.receiveAck(now, "c2#1", core.lastIndex(), now);
        fixture.receiveAck(now, "c3#1", core.lastIndex(), now);
        core.onSnapshotStored(now, new SnapshotMeta(core.commitIndex(), core.term(), CoreFixture.SET));
        assertThat(propose()).isGreaterThan(0);
    }

    /** Guards against send buffers that fill the heap because entries for a silent follower are queued without limit. */
    @Test
    void limitsBytesSentToSilentFollower() {
        fixture.receiveAck(now, "c3#1", core.lastIndex(), now);
        long sent = 0;
        for (int i = 0; i < COMMANDS; i++) {
            propose();
            core.tick(core.nextTick());
            now = Math.max(now, core.nextTick());
            sent += entryBytes(fixture.sync(now), "c3#1");
            fixture.receiveAck(now, "c2#1", core.lastIndex(), now);
            core.onSnapshotStored(now, new SnapshotMeta(core.commitIndex(), core.term(), CoreFixture.SET));
        }
        assertThat(sent).isGreaterThan(0);
        assertThat(sent).isAtMost(LOG_BYTES);
    }

    /** Guards against queued commands that fill the heap because only their number is limited. */
    @Test
    void limitsSizeOfQueuedCommands() {
        ProposalQueue queue = new ProposalQueue(1_000, 3 * COMMAND_BYTES);
        for (int i = 0; i < 3; i++) {
            assertThat(queue.offer(proposal(COMMAND_BYTES))).isTrue();
        }
        assertThat(queue.offer(proposal(COMMAND_BYTES))).isFalse();
        assertThat(queue.poll(10, COMMAND_BYTES + 1)).hasSize(2);
        assertThat(queue.offer(proposal(COMMAND_BYTES))).isTrue();
        while (queue.poll() != null) {
            // empties the queue
        }
        assertThat(queue.offer(proposal(10 * COMMAND_BYTES))).isTrue();
    }

    private long propose() {
        return core.propose(now, List.of(ByteString.copyFrom(new byte[COMMAND_BYTES])));
    }

    private static ProposalQueue.Proposal proposal(int bytes) {
        return new ProposalQueue.Proposal(ByteString.copyFrom(new byte[bytes]), new CompletableFuture<>());
    }

    private static long entryBytes(List<GroupMessage> messages, String identity) {
        return messages.stream()
                .filter(m -> m.getToIdentity().equals(identity))
                .flatMap(m -> m.getAppendRequest().getEntriesList().stream())
                .mapToLong(LogEntry::getSerializedSize)
                .sum();
    }
}
