package org.ragwortrun.control.internal;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import org.ragwortrun.ledger.MetaState;
import org.ragwortrun.replication.StateMachine;

/** Connects the meta group's state to the replicated log. */
final class MetaStateMachine implements StateMachine {
    private final MetaState state;
    private final List<Runnable> listeners = new CopyOnWriteArrayList<>();

    MetaStateMachine(MetaState state) {
        this.state = state;
    }

    /** Calls the listener, which must not block, after each change. */
    void onChange(Runnable listener) {
        listeners.add(listener);
    }

    @Override
    public byte[] apply(long index, byte[] command) {
        byte[] reply = state.apply(index, command);
        listeners.forEach(Runnable::run);
        return reply;
    }

    @Override
    public void writeSnapshot(OutputStream out) throws IOException {
        state.writeSnapshot(out);
    }

    @Override
    public void readSnapshot(InputStream in) throws IOException {
        state.readSnapshot(in);
        listeners.forEach(Runnable::run);
    }
}
