package org.ragwortrun.control;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import com.google.protobuf.ByteString;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;
import java.util.stream.Stream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.ragwortrun.core.concurrent.Closer;
import org.ragwortrun.core.id.Digests;
import org.ragwortrun.core.settings.Settings;
import org.ragwortrun.core.settings.SettingsException;
import org.ragwortrun.net.Address;
import org.ragwortrun.net.Transport;
import org.ragwortrun.net.control.ControlClient;
import org.ragwortrun.proto.ConfigQuery;
import org.ragwortrun.proto.CrashEvidence;
import org.ragwortrun.proto.CrashReport;
import org.ragwortrun.proto.EndpointCrash;
import org.ragwortrun.proto.EvacuationOrder;
import org.ragwortrun.proto.Frame;
import org.ragwortrun.proto.Hello;
import org.ragwortrun.proto.Publish;
import org.ragwortrun.proto.PublishReply;
import org.ragwortrun.proto.Role;
import org.ragwortrun.proto.Section;
import org.ragwortrun.proto.ShardRequest;
import org.ragwortrun.proto.Statement;
import org.ragwortrun.proto.StatementQuery;
import org.ragwortrun.proto.Watch;
import org.ragwortrun.standins.FreePorts;

/** Runs three members with their files on the loopback interface. */
final class ControlDaemonTest {
    private static final Duration TIMEOUT = Duration.ofSeconds(10);

    @TempDir
    Path folder;

    private final Closer closer = new Closer();
    private final Map<String, Address> members = new HashMap<>();
    private final Map<String, ControlDaemon> running = new HashMap<>();
    private ControlClient client;

    @BeforeEach
    void start() throws Exception {
        for (String name : new String[] {"c1", "c2", "c3"}) {
            members.put(name, new Address("127.0.0.1", FreePorts.next()));
        }
        for (String name : members.keySet()) {
            startMember(name);
        }
        Hello own = Hello.newBuilder().setName("test").setRole(Role.OPERATOR).build();
        Transport transport = closer.register(new Transport(own, 1));
        client = closer.register(new ControlClient(transport, members, (p, f) -> {}));
    }

    @AfterEach
    void stop() {
        closer.close();
        running.values().forEach(ControlDaemon::close);
    }

    /** Guards against crash reports of one router that do not reach the others, also after a change of leader. */
    @Test
    void reportsCrashesFromTwoRoutersToAllWatchers() throws Exception {
        publish(0);
        report("r1");
        running.remove(client.leader(0).orElseThrow()).close();
        report("r1");
        report("r2");
        Frame update = client.call(0, Frame.newBuilder().setWatch(Watch.getDefaultInstance()), TIMEOUT)
                .get();
        CrashReport suspect = update.getConfigUpdate().getSuspects(0);
        assertThat(suspect.getDigest().toStringUtf8()).isEqualTo("digest");
        assertThat(suspect.getCrashes()).isEqualTo(2);
    }

    private void report(String router) throws Exception {
        Frame.Builder evidence = Frame.newBuilder()
                .setCrashEvidence(CrashEvidence.newBuilder()
                        .setReporter(router)
                        .setSequence(1)
                        .addCrashes(EndpointCrash.newBuilder()
                                .setEndpoint("e")
                                .addDigests(ByteString.copyFromUtf8("digest"))));
        assertThat(client.call(0, evidence, TIMEOUT).get().hasHeartbeat()).isTrue();
    }

    /** Guards against a publish or a top-up that is lost when the leader stops. */
    @Test
    void keepsStateAcrossLeaderStopAndRestart() throws Exception {
        assertThat(publish(0).getNumber()).isEqualTo(1);
        awaitPrepaid(7);
        String leader = client.leader(0).orElseThrow();
        running.remove(leader).close();
        assertThat(publish(0).getResent()).isTrue();
        awaitPrepaid(7);
        startMember(leader);
        for (ControlDaemon d : running.values()) {
            d.close();
        }
        running.clear();
        for (String name : members.keySet()) {
            startMember(name);
        }
        awaitPrepaid(7);
        assertThat(configNumber()).isEqualTo(1);
    }

    /** Guards against an acknowledged order that is lost with the leader, with all power, or with a disk. */
    @Test
    void keepsEvacuationsAcrossLeaderStopRestartAndWipedDisk() throws Exception {
        evacuate("n1", true);
        String leader = client.leader(0).orElseThrow();
        running.remove(leader).close();
        assertThat(evacuations()).containsExactly("n1 active");
        evacuate("n2", true);
        evacuate("n1", false);
        startMember(leader);
        running.values().forEach(ControlDaemon::close);
        running.clear();
        for (String name : members.keySet()) {
            startMember(name);
        }
        assertThat(evacuations()).containsExactly("n1 ended", "n2 active").inOrder();
        evacuate("n3", true);
        String wiped = client.leader(0).orElseThrow();
        running.remove(wiped).close();
        delete(folder.resolve(wiped));
        startMember(wiped);
        assertThat(evacuations())
                .containsExactly("n1 ended", "n2 active", "n3 active")
                .inOrder();
    }

    private static void delete(Path tree) throws IOException {
        try (Stream<Path> files = Files.walk(tree)) {
            for (Path file : files.sorted(Comparator.reverseOrder()).toList()) {
                Files.delete(file);
            }
        }
    }

    /** Sends an order until it is acknowledged, as operators do. */
    private void evacuate(String dataCenter, boolean begin) throws Exception {
        EvacuationOrder.Builder order = EvacuationOrder.newBuilder()
                .setDataCenter(dataCenter)
                .setBegin(begin)
                .setValidMs(900);
        retry(Frame.newBuilder().setEvacuationOrder(order), Frame::hasEvacuationReply);
    }

    private List<String> evacuations() throws Exception {
        Frame.Builder query = Frame.newBuilder().setConfigQuery(ConfigQuery.getDefaultInstance());
        return retry(query, Frame::hasConfigReply).getConfigReply().getEvacuationsList().stream()
                .map(e -> e.getDataCenter() + (e.getActive() ? " active" : " ended"))
                .toList();
    }

    private Frame retry(Frame.Builder request, Predicate<Frame> isReply) throws Exception {
        long end = System.nanoTime() + TIMEOUT.toNanos();
        while (true) {
            try {
                Frame reply =
                        client.call(0, request.clone(), Duration.ofMillis(900)).get();
                if (isReply.test(reply)) {
                    return reply;
                }
            } catch (ExecutionException e) {
                TimeUnit.MILLISECONDS.sleep(20);
            }
            assertThat(System.nanoTime()).isLessThan(end);
        }
    }

    /** Guards against a daemon that starts with an unknown key or an invalid value. */
    @Test
    void reportsEveryInvalidSetting() throws IOException {
        Map<String, String> values = settings("c9");
        values.put("control.config-leese", "3s");
        values.put("cluster.bootstrap", "c1, c7");
        values.put("control.router-fence-after", "0s");
        SettingsException e = assertThrows(SettingsException.class, () -> ControlDaemon.start(Settings.of(values)));
        assertThat(e.problems())
                .containsExactly(
                        "control.router-fence-after must be from 1s to 7d",
                        "daemon.name must be one of the names in control.members",
                        "cluster.bootstrap must list names from control.members, not c7",
                        "control.listen is required",
                        "control.config-leese is not a known key");
    }

    /** Guards against accounts that change to another shard, where their top-ups would be applied again. */
    @Test
    void rejectsChangedShardCount() {
        running.remove("c1").close();
        Map<String, String> values = settings("c1");
        values.put("cluster.shards", "3");
        SettingsException e = assertThrows(SettingsException.class, () -> ControlDaemon.start(Settings.of(values)));
        assertThat(e.problems())
                .containsExactly(
                        "cluster.shards must stay 2, the number with which the data folder was first used," + " not 3");
    }

    private void startMember(String name) throws Exception {
        running.put(name, ControlDaemon.start(Settings.of(settings(name))));
    }

    private Map<String, String> settings(String name) {
        Map<String, String> values = new HashMap<>();
        values.put("daemon.name", name);
        values.put("daemon.data-center", "a");
        values.put(
                "control.members",
                String.join(
                        ",",
                        members.entrySet().stream()
                                .map(e -> e.getKey() + "=" + e.getValue())
                                .toList()));
        values.put(
                "control.listen", members.containsKey(name) ? members.get(name).toString() : "");
        values.put("storage.folder", folder.resolve(name).toString());
        values.put("cluster.shards", "2");
        values.put("cluster.bootstrap", "c1,c2,c3");
        values.put("cluster.election-timeout", "300ms");
        return values;
    }

    private PublishReply publish(long basedOn) throws Exception {
        Publish publish = Publish.newBuilder()
                .setPublishId("p")
                .setBasedOn(basedOn)
                .addSections(section("account", "a"))
                .addSections(section("service", "s", "kind", "plain", "version", "v1"))
                .addSections(section(
                        "endpoint",
                        "e",
                        "service",
                        "s",
                        "version",
                        "v1",
                        "agent",
                        "10.0.0.1:7100",
                        "url",
                        "http://10.0.0.1:80",
                        "data-center",
                        "a"))
                .addSections(section("budget", "a/s", "topup.1", "7"))
                .build();
        // The publish id makes a retry after a lost reply safe.
        long end = System.nanoTime() + TIMEOUT.toNanos();
        while (true) {
            try {
                Frame reply = client.call(0, Frame.newBuilder().setPublish(publish), TIMEOUT)
                        .get();
                if (reply.hasPublishReply()) {
                    return reply.getPublishReply();
                }
                assertThat(System.nanoTime()).isLessThan(end);
            } catch (ExecutionException e) {
                assertThat(System.nanoTime()).isLessThan(end);
                TimeUnit.MILLISECONDS.sleep(20);
            }
        }
    }

    /** Returns the configuration number, which only a leased leader reports. */
    private long configNumber() throws Exception {
        return client.call(0, Frame.newBuilder().setConfigQuery(ConfigQuery.getDefaultInstance()), TIMEOUT)
                .get()
                .getConfigReply()
                .getNumber();
    }

    private void awaitPrepaid(long tokens) throws Exception {
        int shard = Digests.shard("a", 2);
        ShardRequest query = ShardRequest.newBuilder()
                .setGroup(shard)
                .setStatement(StatementQuery.newBuilder().setAccount("a"))
                .build();
        long end = System.nanoTime() + TIMEOUT.toNanos();
        long seen = -1;
        while (seen != tokens && System.nanoTime() < end) {
            try {
                Statement s = client.call(shard, Frame.newBuilder().setShardRequest(query), TIMEOUT)
                        .get()
                        .getShardReply()
                        .getStatement();
                seen = s.getBudgetsCount() == 0 ? -1 : s.getBudgets(0).getPrepaid();
            } catch (ExecutionException e) {
                seen = -1;
            }
            TimeUnit.MILLISECONDS.sleep(20);
        }
        assertThat(seen).isEqualTo(tokens);
    }

    private static Section section(String kind, String name, String... properties) {
        Section.Builder s = Section.newBuilder()
                .setKind(kind)
                .setName(name)
                .setFile("f.ini")
                .setLine(1);
        for (int i = 0; i < properties.length; i += 2) {
            s.putProperties(properties[i], properties[i + 1]);
        }
        return s.build();
    }
}
