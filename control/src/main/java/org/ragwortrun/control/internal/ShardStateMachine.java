package org.ragwortrun.control.internal;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import org.ragwortrun.ledger.ShardState;
import org.ragwortrun.replication.StateMachine;

/** Connects a shard's state to the replicated log. */
final class ShardStateMachine implements StateMachine {
    private final ShardState state;

    ShardStateMachine(ShardState state) {
        this.state = state;
    }

    @Override
    public byte[] apply(long index, byte[] command) {
        return state.apply(index, command);
    }

    @Override
    public void writeSnapshot(OutputStream out) throws IOException {
        state.writeSnapshot(out);
    }

    @Override
    public void readSnapshot(InputStream in) throws IOException {
        state.readSnapshot(in);
    }
}
