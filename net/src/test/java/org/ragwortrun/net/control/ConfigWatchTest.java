package org.ragwortrun.net.control;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
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
import org.ragwortrun.proto.Evacuation;
import org.ragwortrun.proto.Frame;
import org.ragwortrun.proto.Heartbeat;
import org.ragwortrun.proto.Hello;

final class ConfigWatchTest {
    private static final String TIMER = "config";
    private static final int LEASE_MS = 3_000;
    private static final Duration SHORT_INTERVAL = Duration.ofMillis(10);
    // Longer than the timeout of a call, so that one confirmation is made at a time.
    private static final Duration INTERVAL = Duration.ofMillis(500);
    // Longer than any test, so that nothing depends on the next periodic confirmation.
    private static final Duration LONG_INTERVAL = Duration.ofMinutes(10);

    private final Closer closer = new Closer();
    private final AtomicLong nanos = new AtomicLong();
    private final AtomicLong wallMillis = new AtomicLong();
    private final List<Evacuation> evacuations = new CopyOnWriteArrayList<>();
    private volatile long number = 1;
    private volatile int leaseMs = LEASE_MS;
    private volatile long replyDelayMs;
    private final ScheduledExecutorService network = SingleThreadExecutor.timer("network");
    private volatile long term = 1;
    private volatile boolean repliesSuppressed;
    private volatile boolean nextWatchIgnored;
    private volatile boolean changesBeforeEachReply;
    private volatile Runnable onTimeRead = () -> {};
    private ConfigWatch watch;

    @BeforeEach
    void start() throws Exception {
        Transport transport = closer.register(new Transport(Hello.getDefaultInstance(), 1));
        FrameServer server = closer.register(transport.listen(new Address("127.0.0.1", 0), this::answer));
        ControlClient control = closer.register(new ControlClient(
                transport, Map.of("c1", new Address("127.0.0.1", server.port())), (p, f) -> watch.onPush(f)));
        ScheduledExecutorService timer = SingleThreadExecutor.timer(TIMER);
        closer.register(() -> SingleThreadExecutor.stop(timer));
        closer.register(() -> SingleThreadExecutor.stop(network));
        Time time = new Time() {
            @Override
            public long nanos() {
                onTimeRead.run();
                return nanos.get();
            }

            @Override
            public long wallMillis() {
                return wallMillis.get();
            }
        };
        watch = closer.register(new ConfigWatch(control, timer, time, Metrics.local(), c -> {}));
    }

    @AfterEach
    void stop() {
        closer.close();
    }

    /** Guards against a host that continues with an old configuration during a network partition. */
    @Test
    void leaseExpiresWithoutConfirmation() throws Exception {
        watch.start(SHORT_INTERVAL);
        awaitNumber(1);
        repliesSuppressed = true;
        TimeUnit.MILLISECONDS.sleep(50);
        nanos.addAndGet(TimeUnit.MILLISECONDS.toNanos(LEASE_MS));
        assertThat(watch.inForce().isEmpty()).isTrue();
        assertThat(watch.latest().isPresent()).isTrue();
    }

    /** Guards against work by an ended lease on a host whose monotonic clock stood still while it was suspended. */
    @Test
    void leaseExpiresThoughMonotonicClockStoodStill() throws Exception {
        watch.start(SHORT_INTERVAL);
        awaitNumber(1);
        repliesSuppressed = true;
        TimeUnit.MILLISECONDS.sleep(50);
        wallMillis.addAndGet(LEASE_MS);
        assertThat(watch.inForce().isEmpty()).isTrue();
    }

    /** Guards against an outdated member that sends an older configuration. */
    @Test
    void ignoresLowerNumber() throws Exception {
        watch.start(SHORT_INTERVAL);
        number = 7;
        awaitNumber(7);
        number = 3;
        watch.onPush(Frame.newBuilder().setConfigUpdate(update(3)).build());
        TimeUnit.MILLISECONDS.sleep(100);
        assertThat(watch.latest().map(Configuration::number).orElse(0L)).isEqualTo(7);
    }

    /** Guards against a lost reply that delays a change until the next periodic confirmation. */
    @Test
    void repeatsFetchWithoutReply() throws Exception {
        nextWatchIgnored = true;
        watch.start(LONG_INTERVAL);
        awaitNumber(1);
    }

    /** Guards against a daemon that never confirms again after an error in the periodic confirmation. */
    @Test
    void confirmsAfterErrorInPeriodicConfirmation() throws Exception {
        failNextRead(new OutOfMemoryError("test"));
        watch.start(SHORT_INTERVAL);
        awaitNumber(1);
    }

    /** Guards against a daemon that never confirms again after a failure while it retries. */
    @Test
    void confirmsAfterFailureInRetry() throws Exception {
        watch.start(INTERVAL);
        awaitNumber(1);
        repliesSuppressed = true;
        // Until a confirmation has timed out and is being retried.
        TimeUnit.MILLISECONDS.sleep(3 * INTERVAL.toMillis());
        failNextRead(new IllegalStateException("test"));
        repliesSuppressed = false;
        number = 2;
        awaitNumber(2);
    }

    /** Guards against a change that reaches a daemon only with its next periodic confirmation after a new election. */
    @Test
    void confirmsAtLeaderThatAnnouncesItself() throws Exception {
        watch.start(LONG_INTERVAL);
        awaitNumber(1);
        number = 2;
        watch.onPush(Frame.newBuilder()
                .setHeartbeat(Heartbeat.newBuilder().setNumber(2).setTerm(1))
                .build());
        awaitNumber(2);
    }

    /** Guards against a confirmation by an earlier leader that was suspended and believes that it still leads. */
    @Test
    void ignoresHeartbeatOfEarlierTerm() throws Exception {
        term = 2;
        watch.start(SHORT_INTERVAL);
        awaitNumber(1);
        term = 1;
        // Until no heartbeat of the second term is on its way any more.
        TimeUnit.MILLISECONDS.sleep(100);
        nanos.addAndGet(TimeUnit.MILLISECONDS.toNanos(LEASE_MS));
        TimeUnit.MILLISECONDS.sleep(100);
        assertThat(watch.inForce().isEmpty()).isTrue();
        assertThat(isConfirmed()).isFalse();
    }

    /** Guards against a lease that is never renewed again after a member has named a number that no longer exists. */
    @Test
    void confirmsAgainWhenNamedNumberDoesNotExist() throws Exception {
        watch.start(SHORT_INTERVAL);
        awaitNumber(1);
        nextWatchIgnored = true;
        publish(2);
        while (nextWatchIgnored) {
            TimeUnit.MILLISECONDS.sleep(1);
        }
        publish(1);
        TimeUnit.MILLISECONDS.sleep(500);
        nanos.addAndGet(TimeUnit.MILLISECONDS.toNanos(LEASE_MS));
        awaitNumber(1);
    }

    /** Guards against a daemon that stays unconfirmed while it receives each of many changes at once. */
    @Test
    void isConfirmedDuringSeriesOfChanges() throws Exception {
        watch.start(SHORT_INTERVAL);
        awaitNumber(1);
        changesBeforeEachReply = true;
        TimeUnit.MILLISECONDS.sleep(500);
        nanos.addAndGet(TimeUnit.MILLISECONDS.toNanos(LEASE_MS));
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(3);
        while (!isConfirmed() && System.nanoTime() < end) {
            TimeUnit.MILLISECONDS.sleep(1);
        }
        assertThat(isConfirmed()).isTrue();
    }

    /** Guards against denials by an old configuration on a host that was suspended, whose monotonic clock stood still. */
    @Test
    void isNotConfirmedAfterSuspension() throws Exception {
        watch.start(LONG_INTERVAL);
        awaitNumber(1);
        repliesSuppressed = true;
        wallMillis.addAndGet(10_000);
        assertThat(isConfirmed()).isFalse();
    }

    /** Guards against a host behind a slow network path that is never confirmed, because it gives up on each answer. */
    @Test
    void isConfirmedByLateAnswer() throws Exception {
        replyDelayMs = 700;
        watch.start(INTERVAL);
        awaitNumber(1);
        assertThat(isConfirmed()).isTrue();
    }

    /** Guards against denials by the empty configuration that exists before the first publication. */
    @Test
    void hasNoConfigurationBeforeFirstPublication() throws Exception {
        number = 0;
        watch.start(SHORT_INTERVAL);
        TimeUnit.MILLISECONDS.sleep(500);
        assertThat(isConfirmed()).isFalse();
    }

    /** Guards against denials by a configuration that has a number only because a data center was evacuated before. */
    @Test
    void isNotConfirmedByOrdersBeforeFirstPublication() throws Exception {
        evacuations.add(
                Evacuation.newBuilder().setDataCenter("n1").setActive(true).build());
        watch.start(SHORT_INTERVAL);
        awaitNumber(1);
        assertThat(watch.latest().orElseThrow().isEvacuated("n1")).isTrue();
        assertThat(isConfirmed()).isFalse();
    }

    /** Guards against a daemon that keeps an evacuation of which an update omits the end, or forgets an active one. */
    @Test
    void eachUpdateReplacesEvacuations() throws Exception {
        evacuations.add(
                Evacuation.newBuilder().setDataCenter("n1").setActive(true).build());
        watch.start(SHORT_INTERVAL);
        awaitNumber(1);
        evacuations.clear();
        evacuations.add(
                Evacuation.newBuilder().setDataCenter("n2").setActive(true).build());
        watch.onPush(Frame.newBuilder().setConfigUpdate(update(2).setBase(1)).build());
        number = 2;
        awaitNumber(2);
        assertThat(watch.latest().orElseThrow().isEvacuated("n1")).isFalse();
        assertThat(watch.latest().orElseThrow().isEvacuated("n2")).isTrue();
    }

    /** Makes one reading of the clock fail, as any step of a confirmation may if the process runs out of memory. */
    private void failNextRead(Throwable failure) {
        AtomicBoolean failed = new AtomicBoolean();
        onTimeRead = () -> {
            if (Thread.currentThread().getName().equals(TIMER) && failed.compareAndSet(false, true)) {
                if (failure instanceof Error e) {
                    throw e;
                }
                throw (RuntimeException) failure;
            }
        };
    }

    private void publish(long next) {
        number = next;
    }

    private boolean isConfirmed() {
        return watch.latest()
                .map(c -> watch.isConfirmedWithin(Duration.ofSeconds(2), c))
                .orElse(false);
    }

    private void awaitNumber(long expected) throws InterruptedException {
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(5);
        while (watch.inForce().map(Configuration::number).orElse(-1L) != expected && System.nanoTime() < end) {
            TimeUnit.MILLISECONDS.sleep(5);
        }
        assertThat(watch.inForce().map(Configuration::number).orElse(-1L)).isEqualTo(expected);
    }

    private void answer(Peer peer, Frame f) {
        if (replyDelayMs == 0) {
            answerNow(peer, f);
        } else {
            network.schedule(() -> answerNow(peer, f), replyDelayMs, TimeUnit.MILLISECONDS);
        }
    }

    private void answerNow(Peer peer, Frame f) {
        if (repliesSuppressed) {
            return;
        }
        Frame.Builder reply = Replies.to(f);
        if (changesBeforeEachReply) {
            number++;
            peer.send(Frame.newBuilder().setConfigUpdate(update(number)).build());
        }
        if (f.hasWatch() && nextWatchIgnored) {
            nextWatchIgnored = false;
        } else if (f.hasWatch()) {
            peer.send(reply.setConfigUpdate(update(number)).build());
        } else if (f.hasConfirm()) {
            int lease = f.getConfirm().getNumber() == number ? leaseMs : 0;
            peer.send(reply.setHeartbeat(Heartbeat.newBuilder()
                            .setNumber(number)
                            .setTerm(term)
                            .setLeaseMs(lease))
                    .build());
        }
    }

    private ConfigUpdate.Builder update(long number) {
        return ConfigUpdate.newBuilder().setNumber(number).addAllEvacuations(evacuations);
    }
}
