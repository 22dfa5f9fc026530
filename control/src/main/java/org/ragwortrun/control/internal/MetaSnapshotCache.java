package org.ragwortrun.control.internal;

import org.ragwortrun.ledger.MetaState;

/** Takes snapshots of the meta group's state and caches the newest, as the state changes a few hundred times a day. */
final class MetaSnapshotCache {
    private final MetaState state;
    private MetaSnapshot last = MetaSnapshot.EMPTY;

    MetaSnapshotCache(MetaState state) {
        this.state = state;
    }

    /** Returns the snapshot of the current number. */
    synchronized MetaSnapshot current() {
        long number = state.number();
        while (last.number() != number) {
            MetaSnapshot read = new MetaSnapshot(
                    number,
                    state.configuration().getSectionsList(),
                    state.moves(),
                    state.decisions(),
                    state.orderedMoves(),
                    state.evacuations());
            // The parts are consistent only if no entry was applied between the reads.
            number = state.number();
            if (read.number() == number) {
                last = read;
            }
        }
        return last;
    }
}
