package org.ragwortrun.control.internal;

import org.ragwortrun.ledger.MetaState;

/** Takes snapshots of the meta group's state and keeps the newest, because it changes a few hundred times a day. */
final class MetaSnapshots {
    private final MetaState state;
    private MetaSnapshot last = MetaSnapshot.EMPTY;

    MetaSnapshots(MetaState state) {
        this.state = state;
    }

    /** Returns the snapshot of the newest number. */
    synchronized MetaSnapshot current() {
        long number = state.number();
        while (last.number() != number) {
            MetaSnapshot read = new MetaSnapshot(
                    number,
                    state.configuration().getSectionsList(),
                    state.moves(),
                    state.decisions(),
                    state.orderedMoves());
            // The parts belong together only if no entry was applied between the reads.
            number = state.number();
            if (read.number() == number) {
                last = read;
            }
        }
        return last;
    }
}
