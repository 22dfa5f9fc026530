package org.ragwortrun.control.internal;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import org.ragwortrun.core.time.Time;
import org.ragwortrun.ledger.MetaState;
import org.ragwortrun.replication.StateMachine;

/** Connects the meta group's state to the replicated log. */
final class MetaStateMachine implements StateMachine {
    private final MetaState state;
    private final Time time;
    private final List<Runnable> listeners = new CopyOnWriteArrayList<>();
    private volatile NumberSince numberSince;

    MetaStateMachine(MetaState state, Time time) {
        this.state = state;
        this.time = time;
        numberSince = new NumberSince(state.number(), time.nanos());
    }

    /** Returns the time in milliseconds for which this member has held the current configuration number. */
    long numberAgeMs() {
        return (time.nanos() - numberSince.nanos) / 1_000_000;
    }

    /** Calls the listener, which must not block, after each change. */
    void onChange(Runnable listener) {
        listeners.add(listener);
    }

    @Override
    public byte[] apply(long index, byte[] command) {
        byte[] reply = state.apply(index, command);
        onApplied();
        return reply;
    }

    @Override
    public void writeSnapshot(OutputStream out) throws IOException {
        state.writeSnapshot(out);
    }

    @Override
    public void readSnapshot(InputStream in) throws IOException {
        state.readSnapshot(in);
        onApplied();
    }

    private void onApplied() {
        long number = state.number();
        if (number != numberSince.number) {
            numberSince = new NumberSince(number, time.nanos());
        }
        listeners.forEach(Runnable::run);
    }

    /** A configuration number and the monotonic time at which this member got it. */
    private record NumberSince(long number, long nanos) {}
}
