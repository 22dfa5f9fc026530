package org.ragwortrun.control;

import org.ragwortrun.proto.CrashReport;
import org.ragwortrun.proto.Evidence;
import org.ragwortrun.proto.Hello;

/** Receives what daemons observe about versions and crashing requests. Called by one thread. */
public interface EvidenceSink {
    /** Takes the counts of one daemon for about one second. */
    void onEvidence(Hello reporter, Evidence evidence);

    /**
     * Takes the report of a request during which an endpoint crashed. The caller records it in the meta group; the same
     * crash may be reported more than once.
     */
    void onCrash(Hello reporter, CrashReport report);
}
