package org.ragwortrun.measure.config;

import static com.google.common.truth.Truth.assertThat;

import java.time.Clock;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import org.apache.commons.rng.simple.RandomSource;
import org.junit.jupiter.api.Test;
import org.ragwortrun.core.concurrent.Closer;
import org.ragwortrun.measure.fleet.FleetProcess;
import org.ragwortrun.net.Transport;
import org.ragwortrun.net.control.ControlClient;
import org.ragwortrun.proto.Hello;
import org.ragwortrun.proto.Role;

/** Tests a real forwarding router that stands still while the configuration changes. */
final class WokenRouterTest {
    private static final String ROUTER = "r1";
    private static final int ROUNDS = 4;
    private static final long START_S = 30;
    private static final long CALM_MS = 1_500;
    // Longer than the time within which a change is in force, so that requests for what was dropped meanwhile wait.
    private static final long SUSPENDED_MS = 3_000;

    /** Guards against requests that a router follows by the configuration from before it stood still. */
    @Test
    void followsNoConfigurationFromBeforeItStoodStill() throws Exception {
        try (Closer closer = new Closer()) {
            ConfigFleet fleet = closer.register(new ConfigFleet(3, 1));
            Transport transport = closer.register(new Transport(
                    Hello.newBuilder().setName("test").setRole(Role.OPERATOR).build(), 1));
            ControlClient control =
                    closer.register(new ControlClient(transport, fleet.memberAddresses(), (peer, frame) -> {}));
            ChangeLog changes = new ChangeLog();
            Publisher publisher = new Publisher(
                    control,
                    changes,
                    RandomSource.XO_RO_SHI_RO_128_PP.create(1),
                    new DisturbanceLog(Clock.systemUTC(), note -> {}));
            fleet.processes().startAll();
            publisher.publishNext(System.nanoTime() + TimeUnit.SECONDS.toNanos(START_S));
            fleet.processes().awaitReady(ROUTER);
            RouterRecord record = new RouterRecord(ROUTER, changes);
            AtomicBoolean running = new AtomicBoolean(true);
            closer.register(() -> running.set(false));
            Thread probe = new Thread(new OldPartProbe(
                    new ProbeClient("p", fleet.processes().url(ROUTER)), record, changes, running::get));
            probe.start();
            suspendInTurn(fleet.processes().process(ROUTER), publisher);
            running.set(false);
            probe.join();
            List<OldPartAnswer> all = List.copyOf(record.oldParts());
            assertThat(all.stream().filter(OldPartAnswer::followed).toList()).isEmpty();
            assertThat(all.stream().map(OldPartAnswer::part).distinct().toList())
                    .hasSize(OldPart.values().length);
        }
    }

    private static void suspendInTurn(FleetProcess router, Publisher publisher) throws Exception {
        publish(publisher, CALM_MS);
        for (int i = 0; i < ROUNDS; i++) {
            router.setSuspended(true);
            try {
                publish(publisher, SUSPENDED_MS);
            } finally {
                router.setSuspended(false);
            }
            publish(publisher, CALM_MS);
        }
    }

    private static void publish(Publisher publisher, long ms) throws InterruptedException {
        publisher.publishUntil(System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(ms));
    }
}
