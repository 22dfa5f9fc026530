package org.ragwortrun.measure.replication;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;
import java.util.concurrent.atomic.LongAdder;
import org.jspecify.annotations.Nullable;
import org.ragwortrun.core.concurrent.Closer;
import org.ragwortrun.core.error.RagwortrunException;
import org.ragwortrun.core.metrics.Metrics;
import org.ragwortrun.core.time.Time;
import org.ragwortrun.net.Address;
import org.ragwortrun.net.Transport;
import org.ragwortrun.proto.Hello;
import org.ragwortrun.replication.GroupHost;
import org.ragwortrun.replication.HostSettings;
import org.ragwortrun.replication.ReplicatedGroup;
import org.ragwortrun.replication.StateMachine;

/** Three members in this process, each with a replica of every group, connected over loopback. */
final class LocalCluster implements AutoCloseable {
    private static final List<String> NAMES = List.of("c1", "c2", "c3");
    private static final int LENGTH_PREFIX_BYTES = 4;
    private static final long START_TIMEOUT_NANOS = TimeUnit.SECONDS.toNanos(60);

    private final Closer closer = new Closer();
    private final List<GroupHost> hosts = new ArrayList<>();
    private final LongAdder receivedBytes = new LongAdder();
    private final int groups;

    private LocalCluster(int groups) {
        this.groups = groups;
    }

    /** A state machine without state, so that only the replicated log is measured. */
    private static final class NoOpStateMachine implements StateMachine {
        private static final byte[] DONE = {};

        @Override
        public byte[] apply(long index, byte[] command) {
            return DONE;
        }

        @Override
        public void writeSnapshot(OutputStream out) {
            // there is no state
        }

        @Override
        public void readSnapshot(InputStream in) {
            // there is no state
        }
    }

    /** Starts the members and waits until each group has a leader with a lease. */
    static LocalCluster start(Path folder, int groups) throws IOException, RagwortrunException, InterruptedException {
        LocalCluster cluster = new LocalCluster(groups);
        boolean started = false;
        try {
            Map<String, Address> addresses = freeAddresses();
            for (String name : NAMES) {
                cluster.startMember(HostSettings.of(name, folder.resolve(name), addresses, NAMES), addresses.get(name));
            }
            cluster.awaitLeaders();
            started = true;
            return cluster;
        } finally {
            if (!started) {
                cluster.close();
            }
        }
    }

    /** Returns a group at the member that holds its leader lease. */
    ReplicatedGroup leader(int group) {
        return hosts.stream()
                .map(h -> h.group(group))
                .filter(g -> g.status().leased())
                .findFirst()
                .orElseThrow(() -> new IllegalStateException("group " + group + " has no leader with a lease"));
    }

    /** Returns the total size in bytes of the frames that members received, with length prefixes. */
    long receivedBytes() {
        return receivedBytes.sum();
    }

    @Override
    public void close() {
        closer.close();
    }

    private void startMember(HostSettings settings, @Nullable Address address) throws RagwortrunException {
        if (address == null) {
            throw new IllegalArgumentException("no address for member " + settings.name());
        }
        Metrics metrics = closer.register(Metrics.local());
        Transport transport = closer.register(
                new Transport(Hello.newBuilder().setName(settings.name()).build(), 1));
        AtomicReference<@Nullable GroupHost> host = new AtomicReference<>();
        closer.register(transport.listen(address, (peer, frame) -> {
            receivedBytes.add(LENGTH_PREFIX_BYTES + frame.getSerializedSize());
            GroupHost h = host.get();
            if (h != null) {
                h.onFrame(peer, frame);
            }
        }));
        Map<Integer, StateMachine> machines = new HashMap<>();
        for (int i = 0; i < groups; i++) {
            machines.put(i, new NoOpStateMachine());
        }
        GroupHost opened = closer.register(GroupHost.open(settings, machines, transport, Time.system(), metrics));
        host.set(opened);
        hosts.add(opened);
    }

    private void awaitLeaders() throws InterruptedException {
        long end = System.nanoTime() + START_TIMEOUT_NANOS;
        for (int i = 0; i < groups; i++) {
            int group = i;
            while (hosts.stream().noneMatch(h -> h.group(group).status().leased())) {
                if (System.nanoTime() - end > 0) {
                    throw new IllegalStateException("group " + group + " has no leader after 60 s");
                }
                TimeUnit.MILLISECONDS.sleep(20);
            }
        }
    }

    private static Map<String, Address> freeAddresses() throws IOException {
        Map<String, Address> addresses = new TreeMap<>();
        List<ServerSocket> reserved = new ArrayList<>();
        for (String name : NAMES) {
            ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
            reserved.add(socket);
            addresses.put(name, new Address("127.0.0.1", socket.getLocalPort()));
        }
        for (ServerSocket socket : reserved) {
            socket.close();
        }
        return addresses;
    }
}
