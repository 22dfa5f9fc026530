package org.ragwortrun.control.internal;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;
import org.ragwortrun.proto.MetaCommand;
import org.ragwortrun.proto.Publish;

final class TopUpApplierTest {
    private static final Duration RETRY = Duration.ofSeconds(5);

    private final FakeTime time = new FakeTime();
    private final FakeMetaGroup meta = new FakeMetaGroup(time);
    private final FakeShardGroup shard = new FakeShardGroup(time);
    private final AtomicBoolean queueFull = new AtomicBoolean();
    private final AtomicInteger completed = new AtomicInteger();

    /** Guards against top-ups that are never applied because the queue was full when a proposal completed. */
    @Test
    void appliesLaterTopUpsAfterLostCompletion() {
        TopUpApplier topUps = new TopUpApplier(time, shard, meta, new ConfigurationCache(1), task -> {
            if (!queueFull.get()) {
                completed.incrementAndGet();
                task.run();
            }
        });
        topUps.startTerm();
        publish(5);
        queueFull.set(true);
        topUps.run();
        queueFull.set(false);
        topUps.run();
        assertThat(completed.get()).isEqualTo(0);
        time.advance(RETRY);
        topUps.run();
        assertThat(completed.get()).isEqualTo(1);
    }

    private void publish(long tokens) {
        meta.propose(MetaCommand.newBuilder()
                .setPublish(Publish.newBuilder().setPublishId("p").addAllSections(ControlNodeTest.files(tokens))));
        assertThat(meta.number()).isEqualTo(1);
    }
}
