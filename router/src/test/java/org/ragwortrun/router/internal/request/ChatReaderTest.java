package org.ragwortrun.router.internal.request;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import com.fasterxml.jackson.databind.ObjectMapper;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;
import org.ragwortrun.core.refusal.RefusedException;

final class ChatReaderTest {
    private final ChatReader reader = new ChatReader(new ObjectMapper());

    /** Guards against a prompt bound that is lower than the token count of an engine. */
    @Test
    void boundsPromptByItsBytes() throws Exception {
        ChatRequest r = read("{\"model\":\"m\",\"messages\":[{\"role\":\"user\",\"content\":\"é\\u00e9!\"},"
                + "{\"role\":\"user\",\"content\":[{\"type\":\"text\",\"text\":\"abc\"}]}]}");
        assertThat(r.promptBound()).isAtLeast(2 * 8 + 5 + 3);
        assertThat(r.maxOutput()).isEqualTo(0);
        assertThat(r.stream()).isFalse();
    }

    /** Guards against using the larger of max_tokens and max_completion_tokens. */
    @Test
    void usesLowerOfTwoOutputLimits() throws Exception {
        ChatRequest r = read("{\"model\":\"m\",\"stream\":true,\"max_tokens\":9,\"max_completion_tokens\":5,"
                + "\"messages\":[{\"content\":\"a\"}]}");
        assertThat(r.maxOutput()).isEqualTo(5);
        assertThat(r.stream()).isTrue();
    }

    /** Guards against accepting malformed bodies and bodies whose cost cannot be bounded. */
    @Test
    void refusesRequestsOfUnboundedCost() {
        for (String body : new String[] {
            "",
            "[]",
            "{\"messages\":[{}]}",
            "{\"model\":\"m\",\"messages\":[]}",
            "{\"model\":\"m\",\"messages\":[{}],\"max_tokens\":0}",
            "{\"model\":\"m\",\"messages\":[{}],\"max_tokens\":9999999999999999999}",
            "{\"model\":\"m\",\"messages\":[{}],\"max_tokens\":1.5}",
            "{\"model\":\"m\",\"messages\":[{}],\"stream\":\"yes\"}",
            "{\"model\":\"m\",\"messages\":[{\"content\":[{\"type\":\"image_url\",\"image_url\":\"u\"}]}]}"
        }) {
            assertThrows(RefusedException.class, () -> read(body), body);
        }
    }

    private ChatRequest read(String body) throws RefusedException {
        return reader.read(body.getBytes(StandardCharsets.UTF_8));
    }
}
