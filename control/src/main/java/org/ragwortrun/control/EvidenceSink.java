package org.ragwortrun.control;

import org.ragwortrun.proto.CrashReport;
import org.ragwortrun.proto.Evidence;
import org.ragwortrun.proto.Hello;

/** Receives the observations of daemons about versions and about requests that crash endpoints. Called by one thread. */
public interface EvidenceSink {
    /** Receives the counts of one daemon over about one second. */
    void onEvidence(Hello reporter, Evidence evidence);

    /**
     * Receives the report of a request during which an endpoint crashed. The caller records it in the meta group; the
     * same crash may be reported more than once.
     */
    void onCrash(Hello reporter, CrashReport report);
}
