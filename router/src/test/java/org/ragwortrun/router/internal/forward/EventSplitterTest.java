package org.ragwortrun.router.internal.forward;

import static com.google.common.truth.Truth.assertThat;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;

final class EventSplitterTest {
    private static final String STREAM = "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\r\ndata: c\r\n\r\n";

    /** Guards against forwarding an incomplete event to a caller, wherever the stream is split. */
    @Test
    void passesCompleteEventsOnly() {
        byte[] bytes = STREAM.getBytes(StandardCharsets.UTF_8);
        for (int cut = 0; cut <= bytes.length; cut++) {
            try (EventSplitter splitter = new EventSplitter()) {
                String first = text(splitter.add(Unpooled.wrappedBuffer(bytes, 0, cut)));
                assertThat(first.isEmpty() || first.endsWith("\n\n") || first.endsWith("\r\n\r\n"))
                        .isTrue();
                String rest = text(splitter.add(Unpooled.wrappedBuffer(bytes, cut, bytes.length - cut)));
                assertThat(first + rest).isEqualTo(STREAM);
                assertThat(splitter.events()).isEqualTo(3);
                assertThat(splitter.lastId()).hasValue(3);
                assertThat(splitter.hasPartialEvent()).isFalse();
            }
        }
    }

    @Test
    void resetDiscardsPartialEvent() {
        try (EventSplitter splitter = new EventSplitter()) {
            splitter.add(Unpooled.copiedBuffer("id: 1\ndata: a\n\nid: 2\nda", StandardCharsets.UTF_8));
            assertThat(splitter.hasPartialEvent()).isTrue();
            splitter.reset();
            String next = text(splitter.add(Unpooled.copiedBuffer("id: 2\ndata: b\n\n", StandardCharsets.UTF_8)));
            assertThat(next).isEqualTo("id: 2\ndata: b\n\n");
            assertThat(splitter.firstId()).isEqualTo(2);
        }
    }

    private static String text(ByteBuf bytes) {
        return bytes.toString(StandardCharsets.UTF_8);
    }
}
