package org.ragwortrun.net.control;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import java.util.Map;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.ragwortrun.core.concurrent.Closer;
import org.ragwortrun.core.concurrent.SingleThreadExecutor;
import org.ragwortrun.core.config.Configuration;
import org.ragwortrun.core.metrics.Metrics;
import org.ragwortrun.core.time.Time;
import org.ragwortrun.net.Address;
import org.ragwortrun.net.FrameServer;
import org.ragwortrun.net.Peer;
import org.ragwortrun.net.Replies;
import org.ragwortrun.net.Transport;
import org.ragwortrun.proto.ConfigUpdate;
import org.ragwortrun.proto.Frame;
import org.ragwortrun.proto.Heartbeat;
import org.ragwortrun.proto.Hello;

final class ConfigWatchTest {
    private static final int LEASE_MS = 3_000;

    private final Closer closer = new Closer();
    private final AtomicLong nanos = new AtomicLong();
    private volatile long number = 1;
    private volatile int leaseMs = LEASE_MS;
    private volatile boolean repliesSuppressed;
    private ConfigWatch watch;

    @BeforeEach
    void start() throws Exception {
        Transport transport = closer.register(new Transport(Hello.getDefaultInstance(), 1));
        FrameServer server = closer.register(transport.listen(new Address("127.0.0.1", 0), this::answer));
        ControlClient control = closer.register(
                new ControlClient(transport, Map.of("c1", new Address("127.0.0.1", server.port())), (p, f) -> {}));
        ScheduledExecutorService timer = SingleThreadExecutor.timer("config");
        closer.register(() -> SingleThreadExecutor.stop(timer));
        Time time = new Time() {
            @Override
            public long nanos() {
                return nanos.get();
            }

            @Override
            public long wallMillis() {
                return 0;
            }
        };
        watch = closer.register(new ConfigWatch(control, timer, time, Metrics.local(), c -> {}));
        watch.start(Duration.ofMillis(10));
    }

    @AfterEach
    void stop() {
        closer.close();
    }

    /** Guards against a host that continues with an old configuration during a network partition. */
    @Test
    void leaseExpiresWithoutConfirmation() throws Exception {
        awaitNumber(1);
        repliesSuppressed = true;
        TimeUnit.MILLISECONDS.sleep(50);
        nanos.addAndGet(TimeUnit.MILLISECONDS.toNanos(LEASE_MS));
        assertThat(watch.inForce().isEmpty()).isTrue();
        assertThat(watch.latest().isPresent()).isTrue();
    }

    /** Guards against an outdated member that sends an older configuration. */
    @Test
    void ignoresLowerNumber() throws Exception {
        number = 7;
        awaitNumber(7);
        number = 3;
        watch.onPush(Frame.newBuilder().setConfigUpdate(update(3)).build());
        TimeUnit.MILLISECONDS.sleep(100);
        assertThat(watch.latest().map(Configuration::number).orElse(0L)).isEqualTo(7);
    }

    private void awaitNumber(long expected) throws InterruptedException {
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(5);
        while (watch.inForce().map(Configuration::number).orElse(-1L) != expected && System.nanoTime() < end) {
            TimeUnit.MILLISECONDS.sleep(5);
        }
        assertThat(watch.inForce().map(Configuration::number).orElse(-1L)).isEqualTo(expected);
    }

    private void answer(Peer peer, Frame f) {
        if (repliesSuppressed) {
            return;
        }
        Frame.Builder reply = Replies.to(f);
        if (f.hasWatch()) {
            peer.send(reply.setConfigUpdate(update(number)).build());
        } else if (f.hasConfirm()) {
            int lease = f.getConfirm().getNumber() == number ? leaseMs : 0;
            peer.send(
                    reply.setHeartbeat(Heartbeat.newBuilder().setNumber(number).setLeaseMs(lease))
                            .build());
        }
    }

    private static ConfigUpdate.Builder update(long number) {
        return ConfigUpdate.newBuilder().setNumber(number);
    }
}
