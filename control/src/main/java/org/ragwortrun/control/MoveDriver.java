package org.ragwortrun.control;

import java.util.List;
import org.ragwortrun.core.config.Configuration;
import org.ragwortrun.proto.MetaCommand;

/** Decides the share of each running move. Used by the leased leader of the meta group, on one thread. */
public interface MoveDriver extends EvidenceSink {
    /** Discards all evidence. Called when this member becomes leader, because evidence is kept in memory only. */
    void reset();

    /**
     * Returns the commands that are due: progress of moves and decisions on versions.
     *
     * <p>Called about once a second. The caller does not retry a failed command; the next call sees a
     * configuration without it and decides again.
     */
    List<MetaCommand.Builder> decide(Configuration configuration, long wallMillis);
}
