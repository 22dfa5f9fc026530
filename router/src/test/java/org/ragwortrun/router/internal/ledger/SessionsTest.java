package org.ragwortrun.router.internal.ledger;

import static com.google.common.truth.Truth.assertThat;

import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.ragwortrun.core.concurrent.SingleThreadExecutor;
import org.ragwortrun.proto.SessionOpened;
import org.ragwortrun.proto.ShardResult;

final class SessionsTest {
    private static final ShardResult OPENED = ShardResult.newBuilder()
            .setSessionOpened(SessionOpened.getDefaultInstance())
            .build();

    private final ScheduledExecutorService timer = SingleThreadExecutor.timer("test-timer");
    private final FakeBudgetOwners shards = new FakeBudgetOwners();
    private final Sessions sessions = new Sessions(shards, timer, "r", "r@1");

    @AfterEach
    void stop() {
        SingleThreadExecutor.stop(timer);
    }

    /** Guards against a session that is never opened after an error in a retry. */
    @Test
    void opensSessionAfterErrorInRetry() throws Exception {
        sessions.open();
        FakeBudgetOwners.Call first = shards.next();
        shards.errors.set(1);
        first.result().completeExceptionally(new IllegalStateException("test"));
        shards.next().result().complete(OPENED);
        sessions.whenOpen(1).get(1, TimeUnit.SECONDS);
    }

    /** Guards against a session that is never opened because a call never ends. */
    @Test
    void opensSessionAfterCallThatNeverEnds() throws Exception {
        sessions.open();
        FakeBudgetOwners.Call lost = shards.next();
        shards.next().result().complete(OPENED);
        sessions.whenOpen(1).get(1, TimeUnit.SECONDS);
        assertThat(lost.result().isDone()).isFalse();
    }
}
