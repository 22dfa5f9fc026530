package org.ragwortrun.routing.version;

/** A statistical test that may be evaluated after every interval without raising its false-alarm rate. */
interface SequentialTest {
    /**
     * Adds one interval.
     *
     * @param newer counts of the new version
     * @param older counts of the old version at the same time and in the same stratum
     */
    void add(Sample newer, Sample older);

    /** Returns the logarithm of the evidence against the new version; see {@link AlarmThresholds}. */
    double logEvidence();
}
