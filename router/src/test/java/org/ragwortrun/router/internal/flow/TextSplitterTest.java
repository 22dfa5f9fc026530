package org.ragwortrun.router.internal.flow;

import static com.google.common.truth.Truth.assertThat;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import org.junit.jupiter.api.Test;

final class TextSplitterTest {
    /** Guards against a character that is broken where a chunk ends. */
    @Test
    void joinsCharactersOverAnySplit() {
        String text = "a\u00e9\u20ac\ud83d\ude00z";
        byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
        for (int i = 0; i <= bytes.length; i++) {
            for (int j = i; j <= bytes.length; j++) {
                TextSplitter s = new TextSplitter();
                String joined = s.add(Arrays.copyOfRange(bytes, 0, i))
                        + s.add(Arrays.copyOfRange(bytes, i, j))
                        + s.add(Arrays.copyOfRange(bytes, j, bytes.length));
                assertThat(joined).isEqualTo(text);
            }
        }
    }
}
