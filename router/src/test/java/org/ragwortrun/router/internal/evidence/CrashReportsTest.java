package org.ragwortrun.router.internal.evidence;

import static com.google.common.truth.Truth.assertThat;

import java.util.Map;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.ragwortrun.core.concurrent.Closer;
import org.ragwortrun.core.concurrent.SingleThreadExecutor;
import org.ragwortrun.net.Address;
import org.ragwortrun.net.FrameServer;
import org.ragwortrun.net.Replies;
import org.ragwortrun.net.Transport;
import org.ragwortrun.net.control.ControlClient;
import org.ragwortrun.proto.EndpointCrash;
import org.ragwortrun.proto.Hello;

final class CrashReportsTest {
    private final Closer closer = new Closer();
    private final BlockingQueue<Long> received = new LinkedBlockingQueue<>();

    @AfterEach
    void stop() {
        closer.close();
    }

    /** Guards against crashes that are never reported again after an error in one retry. */
    @Test
    void reportsCrashAfterErrorInRetry() throws Exception {
        Transport transport = closer.register(new Transport(Hello.getDefaultInstance(), 1));
        FrameServer server = closer.register(transport.listen(new Address("127.0.0.1", 0), (peer, frame) -> {
            if (frame.hasCrashEvidence()) {
                received.add(frame.getCrashEvidence().getSequence());
                peer.send(Replies.error(frame, "test", ""));
            }
        }));
        ControlClient control = closer.register(new ControlClient(
                transport, Map.of("c1", new Address("127.0.0.1", server.port())), (peer, frame) -> {}));
        LossyTimer timer = new LossyTimer();
        closer.register(() -> SingleThreadExecutor.stop(timer));
        CrashReports reports = new CrashReports(control, timer, "r@1");
        reports.add(EndpointCrash.newBuilder().setEndpoint("e1").build());
        assertThat(received.poll(10, TimeUnit.SECONDS)).isEqualTo(1);
        assertThat(received.poll(10, TimeUnit.SECONDS)).isEqualTo(1);
    }

    /** A timer whose first one-shot task, if there is one, fails with an error. */
    private static final class LossyTimer extends ScheduledThreadPoolExecutor {
        private final AtomicBoolean lost = new AtomicBoolean();

        LossyTimer() {
            super(1);
        }

        @Override
        public ScheduledFuture<?> schedule(Runnable task, long delay, TimeUnit unit) {
            Runnable run = lost.getAndSet(true)
                    ? task
                    : () -> {
                        throw new OutOfMemoryError("test");
                    };
            return super.schedule(run, delay, unit);
        }
    }
}
