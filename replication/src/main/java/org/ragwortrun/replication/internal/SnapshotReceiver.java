package org.ragwortrun.replication.internal;

import org.ragwortrun.proto.GroupMessage;
import org.ragwortrun.proto.SnapshotChunk;
import org.ragwortrun.proto.SnapshotReply;

/** Receives the leader's snapshot in chunks. */
final class SnapshotReceiver {
    private final RaftCore core;
    private long index;
    private long term;
    private long expectedOffset;
    private boolean installing;

    /** Chunk that was accepted as the next one of the snapshot being received. */
    record AcceptedChunk(SnapshotChunk chunk) {}

    SnapshotReceiver(RaftCore core) {
        this.core = core;
    }

    void onChunk(long now, String from, SnapshotChunk c) {
        SnapshotReply.Builder reply = SnapshotReply.newBuilder()
                .setRound(c.getRound())
                .setIdentity(core.identity())
                .setLastIndex(c.getLastIndex());
        if (c.getTerm() < core.term()) {
            reply(from, c, reply);
            return;
        }
        core.acceptLeader(now, c.getTerm(), from, c.getIdentity());
        if (c.getLastIndex() <= core.commitIndex()) {
            reply(from, c, reply.setInstalled(true));
            return;
        }
        if (installing || core.isRestoring()) {
            // A newer snapshot would delete the file that the state machine is about to read.
            return;
        }
        if (c.getOffset() == 0) {
            index = c.getLastIndex();
            term = c.getLastTerm();
            expectedOffset = 0;
        }
        if (c.getLastIndex() != index || c.getLastTerm() != term || c.getOffset() != expectedOffset) {
            boolean same = c.getLastIndex() == index && c.getLastTerm() == term;
            reply(from, c, reply.setNextOffset(same ? expectedOffset : 0));
            return;
        }
        expectedOffset += c.getData().size();
        core.write(new AcceptedChunk(c));
        if (!c.getDone()) {
            reply(from, c, reply.setNextOffset(expectedOffset));
            return;
        }
        installing = true;
        core.afterWrites(now, storedAt -> {
            installing = false;
            expectedOffset = 0;
            index = 0;
            if (c.getLastIndex() > core.commitIndex()) {
                core.install(new SnapshotMeta(c.getLastIndex(), c.getLastTerm(), c.getMembers()));
            }
            core.afterWrites(storedAt, installedAt -> reply(from, c, reply.setInstalled(true)));
        });
    }

    private void reply(String to, SnapshotChunk c, SnapshotReply.Builder reply) {
        core.send(to, c.getIdentity(), GroupMessage.newBuilder().setSnapshotReply(reply.setTerm(core.term())));
    }
}
