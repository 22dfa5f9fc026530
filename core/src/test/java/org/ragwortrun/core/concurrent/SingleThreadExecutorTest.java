package org.ragwortrun.core.concurrent;

import static com.google.common.truth.Truth.assertThat;

import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

final class SingleThreadExecutorTest {
    /** Guards against periodic tasks that silently stop after one unexpected failure. */
    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void repeatsTaskAfterFailure(boolean overflow) throws Exception {
        ScheduledExecutorService timer = SingleThreadExecutor.timer("test");
        CountDownLatch runs = new CountDownLatch(3);
        SingleThreadExecutor.repeat(
                timer,
                () -> {
                    runs.countDown();
                    if (overflow) {
                        throw new StackOverflowError();
                    }
                    throw new IllegalStateException("unexpected");
                },
                0,
                1);
        assertThat(runs.await(10, TimeUnit.SECONDS)).isTrue();
        SingleThreadExecutor.stop(timer);
    }
}
