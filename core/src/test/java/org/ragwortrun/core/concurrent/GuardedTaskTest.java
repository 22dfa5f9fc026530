package org.ragwortrun.core.concurrent;

import static com.google.common.truth.Truth.assertThat;

import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

final class GuardedTaskTest {
    /** Guards against a periodic task that ends for good because its failure could not be logged. */
    @Test
    void repeatsTaskWhoseFailureCannotBeLogged() throws Exception {
        CountDownLatch runs = new CountDownLatch(3);
        ScheduledExecutorService timer = SingleThreadExecutor.timer("test");
        try {
            SingleThreadExecutor.repeat(
                    timer,
                    () -> {
                        runs.countDown();
                        throw new UnloggableError();
                    },
                    0,
                    1);
            assertThat(runs.await(5, TimeUnit.SECONDS)).isTrue();
        } finally {
            SingleThreadExecutor.stop(timer);
        }
    }

    /** An error whose message needs memory that is exhausted. */
    private static final class UnloggableError extends OutOfMemoryError {
        private static final long serialVersionUID = 1L;

        @Override
        public String getMessage() {
            throw new OutOfMemoryError("test");
        }
    }
}
