package org.ragwortrun.router.internal.request;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;

final class IdempotencyKeyReaderTest {
    /** Guards against misreading the time of a key, which would make the key expire too early or too late. */
    @Test
    void readsTimeFromKey() {
        assertThat(IdempotencyKeyReader.parse("017f22e2-79b0-7cc3-98c4-dc0c0c07398f")
                        .timeMs()
                        .getAsLong())
                .isEqualTo(1_645_557_742_000L);
        assertThat(IdempotencyKeyReader.parse("1764806400-kiln-2").timeMs().getAsLong())
                .isEqualTo(1_764_806_400_000L);
    }

    /** Guards against reading a time from a key that encodes none. */
    @Test
    void findsNoTimeInOtherKeys() {
        for (String key : new String[] {
            "order-7", "123-x", "1764806400", "1764806400-", "017f22e2-79b0-4cc3-98c4-dc0c0c07398f", "99999999999-x"
        }) {
            assertThat(IdempotencyKeyReader.parse(key).timeMs().isEmpty()).isTrue();
        }
    }
}
