package org.ragwortrun.router.internal.forward;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;

final class FirstSendsTest {
    /** Guards against a line for each request, and against requests by an old configuration without a line. */
    @Test
    void logsFirstOfEachConfigurationAndAllOfOlderOnes() {
        FirstSends sends = new FirstSends();
        assertThat(sends.isFirst("r", "old", 1)).isTrue();
        assertThat(sends.isFirst("r", "old", 1)).isFalse();
        assertThat(sends.isFirst("r", "new", 1)).isTrue();
        assertThat(sends.isFirst("r", "new", 2)).isTrue();
        assertThat(sends.isFirst("r", "new", 2)).isFalse();
        assertThat(sends.isFirst("r", "old", 1)).isTrue();
        assertThat(sends.isFirst("r", "old", 1)).isTrue();
        assertThat(sends.isFirst("r", "new", 2)).isFalse();
    }
}
