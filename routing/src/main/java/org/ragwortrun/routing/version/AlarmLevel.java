package org.ragwortrun.routing.version;

/**
 * Evidence at which a version is taken back or held at its share.
 *
 * <p>Each test is a sum-of-restarts detector built from likelihood ratios. Under equal versions its expected value grows
 * by one for each interval with requests, so the mean number of intervals before a false alarm is at least the level. A
 * service with three routes has 13 strata; two tests over 2,000 intervals of 5 s (2.8 h) make 52,000 looks, so a good
 * version is taken back with a probability of at most about 0.5 %.
 */
final class AlarmLevel {
    static final double LOG_LEVEL = Math.log(1e7);
    // Above this evidence the share does not rise. Three chance failures in forty requests reach it.
    static final double LOG_CAUTION = Math.log(1e3);

    private AlarmLevel() {}
}
