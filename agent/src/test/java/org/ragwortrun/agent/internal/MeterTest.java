package org.ragwortrun.agent.internal;

import static com.google.common.truth.Truth.assertThat;

import java.util.Random;
import org.junit.jupiter.api.Test;

final class MeterTest {
    /** Guards against a bill above the reservation, whatever an engine reports. */
    @Test
    void neverBillsMoreThanReserved() {
        for (long seed = 0; seed < 500; seed++) {
            Random random = new Random(seed);
            long reserved = 1 + random.nextInt(60);
            Meter meter = new Meter(reserved, 1 + random.nextInt(60), 0);
            int delivered = 0;
            for (int i = 0; i < 80; i++) {
                boolean text = random.nextInt(5) > 0;
                delivered += meter.add(random.nextInt(20), random.nextInt(100), text) && text ? 1 : 0;
            }
            assertThat(meter.billed()).isAtMost(reserved);
            assertThat((long) delivered).isAtMost(reserved);
            assertThat(meter.outputTokens()).isAtLeast(delivered);
        }
    }

    /** Guards against an engine that reports no usage and whose output is then not limited. */
    @Test
    void countsPiecesIfEngineReportsNoUsage() {
        Meter meter = new Meter(10, 3, 0);
        assertThat(meter.add(0, 0, true)).isTrue();
        assertThat(meter.add(0, 0, true)).isTrue();
        assertThat(meter.add(0, 0, true)).isTrue();
        assertThat(meter.add(0, 0, true)).isFalse();
        assertThat(meter.billed()).isEqualTo(3);
    }

    /** Guards against text of an earlier attempt that is billed twice, as prompt and as output. */
    @Test
    void countsResumedTextOnce() {
        Meter meter = new Meter(100, 50, 20);
        assertThat(meter.add(30, 1, true)).isTrue();
        assertThat(meter.promptTokens()).isEqualTo(10);
        assertThat(meter.outputTokens()).isEqualTo(21);
        assertThat(meter.billed()).isEqualTo(31);
    }
}
