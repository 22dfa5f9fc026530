package org.ragwortrun.agent.internal;

import static com.google.common.truth.Truth.assertThat;

import java.nio.ByteBuffer;
import java.util.HashSet;
import java.util.Random;
import java.util.Set;
import org.junit.jupiter.api.Test;

final class HashSet128Test {
    /** Guards against entries that are lost, or confused with others, when the table grows. */
    @Test
    void behavesLikeAHashSet() {
        Random random = new Random(17);
        HashSet128 set = new HashSet128();
        Set<String> expected = new HashSet<>();
        for (int i = 0; i < 20_000; i++) {
            RequestKey key = new RequestKey("a" + random.nextInt(50), "s", "r" + random.nextInt(300));
            int attempt = random.nextInt(2);
            ByteBuffer hash = key.hash(attempt);
            assertThat(set.contains(hash)).isEqualTo(expected.contains(key + "/" + attempt));
            assertThat(set.add(hash)).isEqualTo(expected.add(key + "/" + attempt));
        }
        assertThat(set.size()).isEqualTo(expected.size());
        set.clear();
        assertThat(set.contains(new RequestKey("a1", "s", "r1").hash(1))).isFalse();
    }
}
