package org.ragwortrun.routing.version;

/**
 * Evidence at which a version is rolled back or kept at its share.
 *
 * <p>Each test is a Shiryaev-Roberts detector built from likelihood ratios. If the versions are equal, its expected
 * value grows by one for each interval with requests, so the mean number of intervals before a false alarm is at least
 * the alarm threshold. A service with three routes has 13 strata. Two tests over 2,000 intervals of 5 s (2.8 h) make
 * 52,000 comparisons with the threshold, so a good version is rolled back with a probability of at most about 0.5 %.
 */
final class AlarmThresholds {
    static final double LOG_ALARM = Math.log(1e7);
    // From this evidence on, the share does not increase. Three chance failures in forty requests reach it.
    static final double LOG_SUSPICION = Math.log(1e3);

    private AlarmThresholds() {}
}
