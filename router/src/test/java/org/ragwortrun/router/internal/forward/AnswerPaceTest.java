package org.ragwortrun.router.internal.forward;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import org.junit.jupiter.api.Test;

/** Which latency of an answer counts for its version. */
final class AnswerPaceTest {
    private static final long MS = 1_000_000;

    /** Guards against a sound new version that looks slow because its engines have nothing cached yet. */
    @Test
    void theTimeToReadASharedPromptDoesNotCount() {
        AnswerPace cold = new AnswerPace(true, 0);
        AnswerPace cached = new AnswerPace(true, 0);
        for (int e = 1; e <= AnswerPace.PAUSES; e++) {
            assertThat(cold.onEvents(e, (800 + e * 30) * MS)).isEmpty();
            assertThat(cached.onEvents(e, (80 + e * 30) * MS)).isEmpty();
        }
        int last = AnswerPace.PAUSES + 1;
        assertThat(cold.onEvents(last, (800 + last * 30) * MS)).hasValue(Duration.ofMillis(30));
        assertThat(cached.onEvents(last, (80 + last * 30) * MS)).hasValue(Duration.ofMillis(30));
    }

    @Test
    void eventsThatArriveTogetherShareTheirPause() {
        AnswerPace pace = new AnswerPace(true, 0);
        assertThat(pace.onEvents(3, 100 * MS)).isEmpty();
        assertThat(pace.onEvents(9, 220 * MS)).hasValue(Duration.ofMillis(20));
        assertThat(pace.onEvents(10, 400 * MS)).isEmpty();
        assertThat(pace.onEnd(500 * MS)).isEmpty();
    }

    @Test
    void withoutASharedPromptTheFirstEventCounts() {
        AnswerPace pace = new AnswerPace(false, 10 * MS);
        assertThat(pace.onEvents(1, 60 * MS)).hasValue(Duration.ofMillis(50));
        assertThat(pace.onEnd(90 * MS)).isEmpty();
        assertThat(new AnswerPace(false, 10 * MS).onEnd(90 * MS)).hasValue(Duration.ofMillis(80));
    }

    /** Guards against short streams that are compared by the time of reading their prompts. */
    @Test
    void aShortStreamWithASharedPromptTellsNothing() {
        AnswerPace pace = new AnswerPace(true, 0);
        assertThat(pace.onEvents(2, 900 * MS)).isEmpty();
        assertThat(pace.onEnd(930 * MS)).isEmpty();
    }
}
