package org.ragwortrun.control;

import static com.google.common.truth.Truth.assertThat;

import java.io.IOException;
import java.nio.file.Path;
import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.ragwortrun.core.concurrent.Closer;
import org.ragwortrun.core.settings.Settings;
import org.ragwortrun.net.Address;
import org.ragwortrun.net.Transport;
import org.ragwortrun.net.control.ControlClient;
import org.ragwortrun.proto.Frame;
import org.ragwortrun.proto.Heartbeat;
import org.ragwortrun.proto.Hello;
import org.ragwortrun.proto.Role;
import org.ragwortrun.standins.FreePorts;

final class ControlRelayTest {
    private static final Duration TIMEOUT = Duration.ofSeconds(20);

    @TempDir
    private Path folder;

    private final Closer closer = new Closer();
    private final Map<String, Address> addresses = new TreeMap<>();

    @AfterEach
    void stop() {
        closer.close();
    }

    /** Guards against a system that never starts because its settings list only hosts without storage. */
    @Test
    void formsGroupThroughRelaysOnly() throws Exception {
        List<String> listed = List.of("r1", "r2");
        assignAddresses("r1", "r2", "m1", "m2", "m3");
        for (String name : addresses.keySet()) {
            start(name, listed);
        }
        assertThat(members(listed)).containsExactly("m1", "m2", "m3");
    }

    /** Guards against a bootstrap that waits for a listed host without storage, which never reports. */
    @Test
    void doesNotWaitForListedHostWithoutStorage() throws Exception {
        List<String> listed = List.of("r1", "m1", "m2");
        assignAddresses("r1", "m1", "m2");
        for (String name : addresses.keySet()) {
            start(name, listed);
        }
        assertThat(members(List.of("r1"))).containsExactly("m1", "m2");
    }

    /** Returns the members reported by the leader, which is reached through the listed hosts. */
    private List<String> members(List<String> listed) throws Exception {
        Transport transport = closer.register(new Transport(
                Hello.newBuilder().setName("test").setRole(Role.OPERATOR).build(), 1));
        ControlClient client = closer.register(new ControlClient(transport, addressesOf(listed), (p, f) -> {}));
        Frame reply = client.call(0, Frame.newBuilder().setHeartbeat(Heartbeat.getDefaultInstance()), TIMEOUT)
                .get(TIMEOUT.toMillis(), TimeUnit.MILLISECONDS);
        return reply.getHeartbeat().getMembersList().stream()
                .map(m -> m.getName())
                .toList();
    }

    private void start(String name, List<String> listed) throws Exception {
        Map<String, Address> known = addressesOf(listed);
        known.put(name, addresses.get(name));
        Map<String, String> values = new HashMap<>(Map.of(
                "daemon.name",
                name,
                "daemon.data-center",
                "a",
                "control.listen",
                addresses.get(name).toString(),
                "cluster.shards",
                "1",
                "cluster.bootstrap",
                String.join(",", listed),
                "cluster.election-timeout",
                "300ms",
                "storage.folder",
                name.startsWith("m") ? folder.resolve(name).toString() : ""));
        values.put(
                "control.members",
                String.join(
                        ",",
                        known.entrySet().stream()
                                .map(e -> e.getKey() + "=" + e.getValue())
                                .toList()));
        closer.register(ControlDaemon.start(Settings.of(values), List::of, System.nanoTime()));
    }

    private Map<String, Address> addressesOf(List<String> names) {
        Map<String, Address> result = new TreeMap<>();
        names.forEach(n -> result.put(n, addresses.get(n)));
        return result;
    }

    private void assignAddresses(String... names) throws IOException {
        for (String name : names) {
            addresses.put(name, new Address("127.0.0.1", FreePorts.next()));
        }
    }
}
