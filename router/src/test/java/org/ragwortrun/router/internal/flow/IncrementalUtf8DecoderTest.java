package org.ragwortrun.router.internal.flow;

import static com.google.common.truth.Truth.assertThat;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import org.junit.jupiter.api.Test;

final class IncrementalUtf8DecoderTest {
    /** Guards against corrupting a character that is split between two chunks. */
    @Test
    void decodesCharactersSplitAcrossChunks() {
        String text = "a\u00e9\u20ac\ud83d\ude00z";
        byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
        for (int i = 0; i <= bytes.length; i++) {
            for (int j = i; j <= bytes.length; j++) {
                IncrementalUtf8Decoder s = new IncrementalUtf8Decoder();
                String joined = s.decode(Arrays.copyOfRange(bytes, 0, i))
                        + s.decode(Arrays.copyOfRange(bytes, i, j))
                        + s.decode(Arrays.copyOfRange(bytes, j, bytes.length));
                assertThat(joined).isEqualTo(text);
            }
        }
    }
}
