package org.ragwortrun.router.internal.forward;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.ragwortrun.core.concurrent.Closer;
import org.ragwortrun.core.concurrent.SingleThreadExecutor;
import org.ragwortrun.core.config.Configuration;
import org.ragwortrun.core.metrics.Metrics;
import org.ragwortrun.core.refusal.Refusal;
import org.ragwortrun.core.refusal.RefusalReason;
import org.ragwortrun.core.time.Time;
import org.ragwortrun.net.Address;
import org.ragwortrun.net.FrameServer;
import org.ragwortrun.net.Peer;
import org.ragwortrun.net.Replies;
import org.ragwortrun.net.Transport;
import org.ragwortrun.net.control.ConfigWatch;
import org.ragwortrun.net.control.ControlClient;
import org.ragwortrun.proto.ConfigUpdate;
import org.ragwortrun.proto.Frame;
import org.ragwortrun.proto.Heartbeat;
import org.ragwortrun.proto.Hello;
import org.ragwortrun.proto.Section;
import org.ragwortrun.router.internal.DenialRule;

final class DenialRuleTest {
    private static final Duration DENIAL_AGE = Duration.ofSeconds(2);

    private final Closer closer = new Closer();
    private volatile long number = 1;
    private volatile boolean silent;
    private ControlClient control;
    private ConfigWatch watch;

    @BeforeEach
    void start() throws Exception {
        Transport transport = closer.register(new Transport(Hello.getDefaultInstance(), 1));
        FrameServer server = closer.register(transport.listen(new Address("127.0.0.1", 0), this::answer));
        control = closer.register(
                new ControlClient(transport, Map.of("c1", new Address("127.0.0.1", server.port())), (p, f) -> {}));
        ScheduledExecutorService timer = SingleThreadExecutor.timer("config");
        closer.register(() -> SingleThreadExecutor.stop(timer));
        watch = closer.register(new ConfigWatch(control, timer, Time.system(), Metrics.local(), c -> {}));
        watch.start(Duration.ofMillis(100));
    }

    @AfterEach
    void stop() {
        closer.close();
    }

    /** Guards against a denial by a configuration that was replaced between the search for a route and the denial. */
    @Test
    void doesNotDenyByReplacedConfiguration() throws Exception {
        ConfigurationSource source = ConfigurationSource.of(watch, control, DENIAL_AGE);
        awaitConfirmed(source, 1);
        setSilent(true);
        number = 2;
        TimeUnit.MILLISECONDS.sleep(DENIAL_AGE.toMillis() + 300);
        // The event loop reads the configuration and is then preempted, as on a host that has just woken.
        Optional<Configuration> used = source.get();
        setSilent(false);
        awaitConfirmed(source, 2);
        assertThat(used.flatMap(c -> c.forwards().find("h", "/new/x"))).isEqualTo(Optional.empty());
        assertThat(source.get().flatMap(c -> c.forwards().find("h", "/new/x")).isPresent())
                .isTrue();
        RefusalReason reason = new DenialRule(source::isConfirmed, Duration.ZERO)
                .refusal(used.orElseThrow(), Refusal.notRun(RefusalReason.UNKNOWN_ROUTE, "no route"))
                .reason();
        assertThat(reason).isEqualTo(RefusalReason.CONFIGURATION_UNCONFIRMED);
    }

    private void setSilent(boolean value) {
        silent = value;
    }

    private static void awaitConfirmed(ConfigurationSource source, long expected) throws InterruptedException {
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(5);
        while (System.nanoTime() < end
                && !(source.get().filter(source::isConfirmed).isPresent()
                        && source.get().map(Configuration::number).orElse(0L) == expected)) {
            TimeUnit.MILLISECONDS.sleep(5);
        }
        assertThat(source.get().map(Configuration::number).orElse(0L)).isEqualTo(expected);
    }

    private void answer(Peer peer, Frame f) {
        if (silent) {
            return;
        }
        Frame.Builder reply = Replies.to(f);
        if (f.hasWatch()) {
            ConfigUpdate.Builder update = ConfigUpdate.newBuilder().setNumber(number);
            if (number == 2) {
                update.addChanged(section("origin", "o", Map.of("tokens-per-event", "2")))
                        .addChanged(section(
                                "forward",
                                "new",
                                Map.of(
                                        "host",
                                        "h",
                                        "path",
                                        "/new/",
                                        "kind",
                                        "idempotent",
                                        "resumable",
                                        "no",
                                        "to",
                                        "o",
                                        "timeout",
                                        "3s",
                                        "attempts",
                                        "2")));
            }
            peer.send(reply.setConfigUpdate(update).build());
        } else if (f.hasConfirm()) {
            int lease = f.getConfirm().getNumber() == number ? 3_000 : 0;
            peer.send(
                    reply.setHeartbeat(Heartbeat.newBuilder().setNumber(number).setLeaseMs(lease))
                            .build());
        }
    }

    private static Section section(String kind, String name, Map<String, String> properties) {
        return Section.newBuilder()
                .setKind(kind)
                .setName(name)
                .putAllProperties(properties)
                .build();
    }
}
