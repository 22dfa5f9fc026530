package org.ragwortrun.routing;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import org.junit.jupiter.api.Test;

final class ChunkOrderTest {
    /** Guards against bytes that a caller receives twice after a re-attachment. */
    @Test
    void dropsBytesThatWereReceivedBefore() throws Exception {
        ChunkOrder order = new ChunkOrder();
        assertThat(order.accept(0, new byte[] {0, 1, 2})).hasLength(3);
        assertThat(order.accept(0, new byte[] {0, 1})).hasLength(0);
        assertThat(order.accept(1, new byte[] {1, 2, 3, 4})).isEqualTo(new byte[] {3, 4});
        assertThat(order.nextOffset()).isEqualTo(5);
    }

    /** Guards against an answer with missing bytes. */
    @Test
    void rejectsGap() throws Exception {
        ChunkOrder order = new ChunkOrder();
        order.accept(0, new byte[] {0});
        assertThrows(AnswerGapException.class, () -> order.accept(2, new byte[] {2}));
    }
}
