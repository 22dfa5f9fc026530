package org.ragwortrun.routing.version;

import java.util.Collection;
import org.ragwortrun.proto.EvidenceRow;

/** One move of a service's traffic from an old version to a new one. */
public interface VersionMove {
    /** Adds counts of both versions from the whole fleet. Rows of other services or versions are ignored. */
    void observe(Collection<EvidenceRow> rows);

    /**
     * Decides the share of the new version. Must be called about once a second.
     *
     * @param nowMillis wall-clock time in milliseconds since 1970; must not decrease
     */
    MoveDecision decide(long nowMillis);
}
