package org.ragwortrun.routing;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.io.ByteArrayOutputStream;
import java.util.Random;
import org.junit.jupiter.api.Test;

final class StreamBufferTest {
    private final BufferBudget budget = new BufferBudget(1 << 20, 1 << 20);

    /** Guards against bytes that are lost, repeated or reordered, and against windows above the maximum. */
    @Test
    void preservesBytesWithinWindow() throws Exception {
        Random random = new Random(7);
        StreamBuffer buffer = new StreamBuffer(budget, "a");
        assertThat(buffer.open()).isTrue();
        ByteArrayOutputStream in = new ByteArrayOutputStream();
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        int credit = 0;
        for (int i = 0; i < 20_000; i++) {
            credit += buffer.grant();
            byte[] data = new byte[Math.min(credit, random.nextInt(3_000))];
            random.nextBytes(data);
            in.writeBytes(data);
            buffer.add(data, data.length);
            credit -= data.length;
            assertThat(buffer.buffered()).isAtMost(StreamBuffer.MAX_WINDOW);
            if (random.nextInt(3) > 0) {
                out.writeBytes(buffer.poll());
                buffer.widen();
            }
        }
        while (buffer.buffered() > 0) {
            out.writeBytes(buffer.poll());
        }
        assertThat(out.toByteArray()).isEqualTo(in.toByteArray());
        buffer.close();
        assertThat(budget.used()).isEqualTo(0);
    }

    /** Guards against a sender that uses more memory than it was granted. */
    @Test
    void rejectsDataBeyondGrant() {
        StreamBuffer buffer = new StreamBuffer(budget, "a");
        buffer.open();
        int granted = buffer.grant();
        assertThat(granted).isEqualTo(StreamBuffer.FIRST_WINDOW);
        assertThrows(BufferOverflowException.class, () -> buffer.add(new byte[granted + 1], granted + 1));
    }

    /** Guards against a window that grows although the caller does not read. */
    @Test
    void growsWindowOnlyAfterRead() throws Exception {
        StreamBuffer buffer = new StreamBuffer(budget, "a");
        buffer.open();
        buffer.add(new byte[100], Math.min(100, buffer.grant()));
        buffer.widen();
        assertThat(budget.used()).isEqualTo(StreamBuffer.FIRST_WINDOW);
        buffer.poll();
        buffer.widen();
        assertThat(budget.used()).isEqualTo(2 * StreamBuffer.FIRST_WINDOW);
    }

    /** Guards against one client account that uses all the memory. */
    @Test
    void limitsBytesPerAccount() {
        BufferBudget small = new BufferBudget(10 * StreamBuffer.FIRST_WINDOW, StreamBuffer.FIRST_WINDOW);
        assertThat(new StreamBuffer(small, "a").open()).isTrue();
        assertThat(new StreamBuffer(small, "a").open()).isFalse();
        assertThat(new StreamBuffer(small, "b").open()).isTrue();
    }
}
