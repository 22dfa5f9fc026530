package org.ragwortrun.replication;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;

/** State that a group replicates. Every member applies the same commands in the same order. */
public interface StateMachine {
    /**
     * Applies one committed command and returns its reply. Must be deterministic and must not fail.
     *
     * @param index position in the log, greater than that of every command applied before
     */
    byte[] apply(long index, byte[] command);

    /** Writes the whole state. Never runs at the same time as {@link #apply}. */
    void writeSnapshot(OutputStream out) throws IOException;

    /** Replaces the whole state. Never runs at the same time as {@link #apply}. */
    void readSnapshot(InputStream in) throws IOException;
}
