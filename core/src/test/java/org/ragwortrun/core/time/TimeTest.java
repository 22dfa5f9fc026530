package org.ragwortrun.core.time;

import static com.google.common.truth.Truth.assertThat;

import com.google.common.collect.Range;
import org.junit.jupiter.api.Test;

final class TimeTest {
    /** Guards against a leader whose ledger time follows steps of the system's wall clock. */
    @Test
    void steadyTimeFollowsTheMonotonicClock() throws Exception {
        Time time = Time.steady();
        long difference = time.wallMillis() - time.millis();
        for (int i = 0; i < 20; i++) {
            Thread.sleep(5);
            assertThat(time.wallMillis() - time.millis()).isIn(Range.closed(difference - 1, difference + 1));
        }
    }
}
