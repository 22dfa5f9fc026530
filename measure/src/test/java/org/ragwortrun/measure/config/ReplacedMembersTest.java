package org.ragwortrun.measure.config;

import static com.google.common.truth.Truth.assertThat;

import java.time.Clock;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.stream.Collectors;
import org.apache.commons.rng.simple.RandomSource;
import org.junit.jupiter.api.Test;
import org.ragwortrun.core.concurrent.Closer;
import org.ragwortrun.measure.fleet.Fleet;
import org.ragwortrun.net.Transport;
import org.ragwortrun.net.control.ControlClient;
import org.ragwortrun.proto.Frame;
import org.ragwortrun.proto.Heartbeat;
import org.ragwortrun.proto.Hello;
import org.ragwortrun.proto.Member;
import org.ragwortrun.proto.Role;

/** Tests a real forwarding router that is away while all control members are replaced by ones at other addresses. */
final class ReplacedMembersTest {
    private static final int MEMBERS = 3;
    private static final int ROUTERS = 2;
    private static final String AWAY = "r1";
    private static final long START_S = 30;
    private static final long CALM_MS = 1_500;
    private static final long REPLACE_S = 40;
    private static final Duration CALL_TIMEOUT = Duration.ofMillis(900);
    // Time until a router that is back counts as connected, and until it follows the changes since.
    private static final long RETURN_MS = 5_000;
    private static final long ASKED_MS = 3_000;

    /** Guards against a router that never reaches control again, and follows the configuration from before it was away. */
    @Test
    void followsConfigurationAfterAllKnownMembersWereReplaced() throws Exception {
        try (Closer closer = new Closer()) {
            ConfigFleet fleet = closer.register(new ConfigFleet(MEMBERS, ROUTERS));
            Fleet processes = fleet.processes();
            fleet.processes().startAll();
            List<String> names = new ArrayList<>(fleet.members());
            for (int i = 1; i <= MEMBERS; i++) {
                processes.addJoiningControl("x" + i, "dc" + i);
                names.add("x" + i);
            }
            Transport transport = closer.register(new Transport(
                    Hello.newBuilder().setName("test").setRole(Role.OPERATOR).build(), 1));
            ControlClient control =
                    closer.register(new ControlClient(transport, fleet.addresses(names), (peer, frame) -> {}));
            ChangeLog changes = new ChangeLog();
            Publisher publisher = new Publisher(
                    control,
                    changes,
                    RandomSource.XO_RO_SHI_RO_128_PP.create(1),
                    new DisturbanceLog(Clock.systemUTC(), note -> {}));
            publisher.publishNext(System.nanoTime() + TimeUnit.SECONDS.toNanos(START_S));
            for (String router : fleet.routers()) {
                processes.awaitReady(router);
            }
            publish(publisher, CALM_MS);
            processes.process(AWAY).setSuspended(true);
            for (int i = 1; i <= MEMBERS; i++) {
                processes.process("c" + i).kill();
                processes.process("x" + i).start();
                awaitReplacement(control, publisher, "c" + i, "x" + i);
            }
            processes.process(AWAY).setSuspended(false);
            publish(publisher, RETURN_MS);
            RouterRecord record = askFor(fleet, changes, publisher, closer);
            assertThat(record.oldParts().stream()
                            .filter(OldPartAnswer::followed)
                            .toList())
                    .isEmpty();
            int newest = changes.newestBefore(System.nanoTime() - ConfigJudge.LIMIT_NANOS)
                    .orElseThrow()
                    .number();
            assertThat(record.pending().stream()
                            .map(Change::number)
                            .filter(n -> n <= newest)
                            .toList())
                    .isEmpty();
        }
    }

    /** Publishes changes until a member that was lost has been replaced, so that the next loss leaves a majority. */
    private static void awaitReplacement(ControlClient control, Publisher publisher, String lost, String replacement)
            throws InterruptedException {
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(REPLACE_S);
        Set<String> voters = Set.of();
        while (voters.contains(lost) || !voters.contains(replacement)) {
            assertThat(System.nanoTime() - end).isLessThan(0L);
            publish(publisher, CALM_MS);
            voters = control
                    .call(0, Frame.newBuilder().setHeartbeat(Heartbeat.getDefaultInstance()), CALL_TIMEOUT)
                    .handle((reply, failure) -> reply == null ? Frame.getDefaultInstance() : reply)
                    .join()
                    .getHeartbeat()
                    .getMembersList()
                    .stream()
                    .filter(Member::getVoter)
                    .map(Member::getName)
                    .collect(Collectors.toSet());
        }
    }

    /** Asks the router that was away for the newest routes and for dropped ones. */
    private static RouterRecord askFor(ConfigFleet fleet, ChangeLog changes, Publisher publisher, Closer closer)
            throws InterruptedException {
        RouterRecord record = new RouterRecord(AWAY, changes);
        AtomicBoolean running = new AtomicBoolean(true);
        closer.register(() -> running.set(false));
        String url = fleet.processes().url(AWAY);
        List<Thread> probes = List.of(
                new Thread(new OldPartProbe(new ProbeClient("o", url), record, changes, running::get)),
                new Thread(new RouteProbe(new ProbeClient("p", url), record, changes, running::get)));
        probes.forEach(Thread::start);
        publish(publisher, ASKED_MS);
        running.set(false);
        for (Thread probe : probes) {
            probe.join();
        }
        return record;
    }

    private static void publish(Publisher publisher, long ms) throws InterruptedException {
        publisher.publishUntil(System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(ms));
    }
}
