package org.ragwortrun.routing;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;

final class DrainRateTest {
    private static final long MS = 1_000_000;

    /** Guards against an estimate from the demand of a quiet router, which would refuse its first burst. */
    @Test
    void estimatesFromRunningRequestsBeforeMeasurement() {
        DrainRate rate = new DrainRate(0);
        rate.update(false, 5_000 * MS);
        assertThat(rate.perSecond(10, 50 * MS)).isWithin(1).of(200);
    }

    /** Guards against an estimate that keeps the rate of endpoints that have become slow. */
    @Test
    void followsMeasuredRate() {
        DrainRate rate = new DrainRate(0);
        long now = 0;
        for (int i = 0; i < 400; i++) {
            now += 10 * MS;
            rate.update(true, now);
            rate.onServed();
        }
        assertThat(rate.perSecond(4, 40 * MS)).isWithin(5).of(100);
        for (int i = 0; i < 30; i++) {
            now += 100 * MS;
            rate.update(true, now);
            rate.onServed();
        }
        assertThat(rate.perSecond(4, 400 * MS)).isLessThan(20.0);
        rate.update(true, now + 5_000 * MS);
        assertThat(rate.perSecond(0, 400 * MS)).isLessThan(2.0);
    }
}
