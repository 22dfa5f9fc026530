package org.ragwortrun.router.internal.ledger;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ScheduledExecutorService;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.ragwortrun.core.concurrent.SingleThreadExecutor;
import org.ragwortrun.core.time.Time;
import org.ragwortrun.proto.Settled;
import org.ragwortrun.proto.ShardResult;
import org.ragwortrun.proto.Usage;

final class SettlementQueueTest {
    private static final ShardResult SETTLED =
            ShardResult.newBuilder().setSettled(Settled.getDefaultInstance()).build();

    private final ScheduledExecutorService timer = SingleThreadExecutor.timer("test-timer");
    private final FakeBudgetOwners shards = new FakeBudgetOwners();
    private final List<String> acknowledged = new CopyOnWriteArrayList<>();
    private volatile boolean listenerFails;
    private final SettlementQueue queue =
            new SettlementQueue(shards, timer, "r@1", Duration.ofSeconds(1), Time.system(), this::onAcknowledged);

    @AfterEach
    void stop() {
        SingleThreadExecutor.stop(timer);
    }

    /** Guards against bills that stay unsent after an error, until another request ends. */
    @Test
    void sendsBillsAfterError() throws Exception {
        shards.errors.set(1);
        queue.add(usage("q1"));
        assertThat(requests(shards.next())).containsExactly("q1");
    }

    /** Guards against a shard that gets no bills any more because one call to it never ends. */
    @Test
    void resendsBillsAfterCallThatNeverEnds() throws Exception {
        queue.add(usage("q1"));
        FakeBudgetOwners.Call lost = shards.next();
        queue.add(usage("q2"));
        FakeBudgetOwners.Call resent = shards.next();
        assertThat(requests(resent)).containsExactly("q1");
        resent.result().complete(SETTLED);
        FakeBudgetOwners.Call second = shards.next();
        assertThat(requests(second)).containsExactly("q2");
        lost.result().complete(SETTLED);
        assertThat(acknowledged).containsExactly("q1");
        assertThat(queue.pending()).isEqualTo(1);
    }

    /** Guards against bills that are sent and subtracted again because a listener failed. */
    @Test
    void sendsNextBillsAfterListenerFailed() throws Exception {
        failListener(true);
        queue.add(usage("q1"));
        shards.next().result().complete(SETTLED);
        failListener(false);
        queue.add(usage("q2"));
        assertThat(requests(shards.next())).containsExactly("q2");
        assertThat(queue.pending()).isEqualTo(1);
    }

    private void failListener(boolean value) {
        listenerFails = value;
    }

    private void onAcknowledged(Usage usage) {
        if (listenerFails) {
            throw new IllegalStateException("test");
        }
        acknowledged.add(usage.getRequestId());
    }

    private static List<String> requests(FakeBudgetOwners.Call call) {
        return call.command().getSettle().getUsagesList().stream()
                .map(Usage::getRequestId)
                .toList();
    }

    private static Usage usage(String request) {
        return Usage.newBuilder().setRequestId(request).build();
    }
}
