package org.ragwortrun.agent.internal;

import static com.google.common.truth.Truth.assertThat;

import java.io.ByteArrayOutputStream;
import java.util.Arrays;
import java.util.Random;
import org.junit.jupiter.api.Test;

final class AnswerBufferTest {
    /** Guards against wrong bytes after the start of an answer was dropped. */
    @Test
    void keepsOffsetsAcrossDrops() {
        Random random = new Random(3);
        AnswerBuffer buffer = new AnswerBuffer();
        ByteArrayOutputStream whole = new ByteArrayOutputStream();
        for (int i = 0; i < 400; i++) {
            byte[] part = new byte[random.nextInt(300)];
            random.nextBytes(part);
            buffer.append(part);
            whole.writeBytes(part);
            if (random.nextInt(10) == 0) {
                buffer.dropBefore(buffer.startOffset() + random.nextInt(buffer.length() + 1));
            }
            assertThat(buffer.endOffset()).isEqualTo(whole.size());
            int from = (int) buffer.startOffset() + random.nextInt(buffer.length() + 1);
            byte[] expected = Arrays.copyOfRange(whole.toByteArray(), from, whole.size());
            assertThat(buffer.slice(from, expected.length).toByteArray()).isEqualTo(expected);
        }
    }

    /** Guards against a token count that is higher than that of the text delivered so far. */
    @Test
    void tokenMarksNeverExceedDeliveredTokens() {
        TokenMarks marks = new TokenMarks();
        for (int i = 1; i <= 1_000; i++) {
            marks.add(i * 5L, i);
        }
        assertThat(marks.tokensBefore(0, 7)).isEqualTo(7);
        for (long offset = 5; offset <= 5_000; offset++) {
            long tokens = marks.tokensBefore(offset, 0);
            assertThat(tokens).isAtMost(offset / 5);
            assertThat(tokens).isAtLeast(offset / 5 - 8);
        }
    }
}
