package org.ragwortrun.core.log;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;

final class EventTest {
    /** Guards against values that break the key=value format or start a new line. */
    @Test
    void quotesValuesThatWouldBreakTheLine() {
        String line = Event.of("x")
                .with("a", "plain")
                .with("b", "two words")
                .with("c", "say \"hi\"\n")
                .with("d", "")
                .toString();
        assertThat(line).isEqualTo("event=x a=plain b=\"two words\" c=\"say \\\"hi\\\"\\n\" d=\"\"");
    }
}
