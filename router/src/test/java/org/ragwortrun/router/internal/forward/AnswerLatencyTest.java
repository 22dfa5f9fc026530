package org.ragwortrun.router.internal.forward;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import org.junit.jupiter.api.Test;

/** Checks which latency of an answer is reported. */
final class AnswerLatencyTest {
    private static final long MS = 1_000_000;

    /** Guards against rating a new version as slow because its engines have nothing cached yet. */
    @Test
    void ignoresPromptReadTimeOfSharedPrompt() {
        AnswerLatency cold = new AnswerLatency(true, 0);
        AnswerLatency cached = new AnswerLatency(true, 0);
        for (int e = 1; e <= AnswerLatency.EVENT_INTERVALS; e++) {
            assertThat(cold.onEvents(e, (800 + e * 30) * MS)).isEmpty();
            assertThat(cached.onEvents(e, (80 + e * 30) * MS)).isEmpty();
        }
        int last = AnswerLatency.EVENT_INTERVALS + 1;
        assertThat(cold.onEvents(last, (800 + last * 30) * MS)).hasValue(Duration.ofMillis(30));
        assertThat(cached.onEvents(last, (80 + last * 30) * MS)).hasValue(Duration.ofMillis(30));
    }

    @Test
    void averagesIntervalOverEventsThatArriveTogether() {
        AnswerLatency latency = new AnswerLatency(true, 0);
        assertThat(latency.onEvents(3, 100 * MS)).isEmpty();
        assertThat(latency.onEvents(9, 220 * MS)).hasValue(Duration.ofMillis(20));
        assertThat(latency.onEvents(10, 400 * MS)).isEmpty();
        assertThat(latency.onEnd(500 * MS)).isEmpty();
    }

    @Test
    void usesTimeToFirstEventWithoutSharedPrompt() {
        AnswerLatency latency = new AnswerLatency(false, 10 * MS);
        assertThat(latency.onEvents(1, 60 * MS)).hasValue(Duration.ofMillis(50));
        assertThat(latency.onEnd(90 * MS)).isEmpty();
        assertThat(new AnswerLatency(false, 10 * MS).onEnd(90 * MS)).hasValue(Duration.ofMillis(80));
    }

    /** Guards against comparing short streams by the time that was spent reading their prompts. */
    @Test
    void reportsNoLatencyForShortStreamWithSharedPrompt() {
        AnswerLatency latency = new AnswerLatency(true, 0);
        assertThat(latency.onEvents(2, 900 * MS)).isEmpty();
        assertThat(latency.onEnd(930 * MS)).isEmpty();
    }
}
