package org.ragwortrun.routing;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

final class RetryPolicyTest {
    private static final Duration LONG = Duration.ofSeconds(60);

    /** Guards against a retry storm when every request of a route fails. */
    @Test
    void limitsRetriesToFractionOfRequests() {
        RetryPolicy policy = new RetryPolicy(() -> 0.5);
        long retries = IntStream.range(0, 1_000)
                .filter(i -> {
                    policy.onRequest("r");
                    return policy.nextDelay("r", 1, LONG).isPresent();
                })
                .count();
        assertThat(retries).isAtMost(20 + 200);
        assertThat(retries).isAtLeast(200);
    }

    /** Guards against a retry that starts after the deadline of the request. */
    @Test
    void neverWaitsPastDeadline() {
        RetryPolicy policy = new RetryPolicy(() -> 0.99);
        assertThat(policy.nextDelay("r", 5, Duration.ofMillis(50)).isEmpty()).isTrue();
        assertThat(policy.nextDelay("r", 5, LONG).orElseThrow()).isAtMost(Duration.ofMillis(160));
        assertThat(policy.nextDelay("r", 6, LONG).isEmpty()).isTrue();
    }
}
