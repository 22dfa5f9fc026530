package org.ragwortrun.replication;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.function.BooleanSupplier;
import java.util.stream.Stream;
import org.ragwortrun.core.concurrent.Closer;
import org.ragwortrun.core.metrics.Metrics;
import org.ragwortrun.core.time.Time;
import org.ragwortrun.net.Address;
import org.ragwortrun.net.Peer;
import org.ragwortrun.net.Transport;
import org.ragwortrun.proto.Frame;
import org.ragwortrun.proto.Hello;
import org.ragwortrun.standins.FreePorts;

/** Group hosts in one process that communicate over loopback. */
final class TestCluster implements AutoCloseable {
    static final Duration ELECTION = Duration.ofMillis(300);
    private static final long WAIT_MS = 20_000;

    private final Path root;
    private final int groups;
    private final Map<String, Address> addresses = new TreeMap<>();
    private final Map<String, Node> nodes = new TreeMap<>();

    TestCluster(Path root, int groups, String... names) throws IOException {
        this.root = root;
        this.groups = groups;
        for (String name : names) {
            addresses.put(name, new Address("127.0.0.1", FreePorts.next()));
        }
    }

    /** One running member. */
    static final class Node implements AutoCloseable {
        final Map<Integer, ListStateMachine> machines = new HashMap<>();
        private final Closer closer = new Closer();
        private volatile GroupHost host;

        ReplicatedGroup group(int n) {
            return host.group(n);
        }

        @Override
        public void close() {
            closer.close();
        }

        void onFailure(Runnable listener) {
            host.onFailure(listener);
        }

        private void onFrame(Peer peer, Frame frame) {
            GroupHost h = host;
            if (h != null) {
                h.onFrame(peer, frame);
            }
        }
    }

    HostSettings settings(String name) {
        return HostSettings.of(name, root.resolve(name), addresses, List.copyOf(addresses.keySet()))
                .withElectionTimeout(ELECTION);
    }

    /** Returns the settings of a member that list only the initial members and itself. */
    HostSettings settings(String name, List<String> initial) {
        Map<String, Address> known = new TreeMap<>();
        initial.forEach(n -> known.put(n, addresses.get(n)));
        known.put(name, addresses.get(name));
        return HostSettings.of(name, root.resolve(name), known, initial.contains(name) ? initial : List.of())
                .withElectionTimeout(ELECTION);
    }

    Node start(String name) throws Exception {
        return start(settings(name), Time.system());
    }

    Node start(HostSettings settings, Time time) throws Exception {
        String name = settings.name();
        Node node = new Node();
        Metrics metrics = node.closer.register(Metrics.local());
        Transport transport = node.closer.register(
                new Transport(Hello.newBuilder().setName(name).build(), 1));
        node.closer.register(transport.listen(addresses.get(name), node::onFrame));
        Map<Integer, StateMachine> machines = new HashMap<>();
        for (int i = 0; i < groups; i++) {
            ListStateMachine machine = new ListStateMachine();
            node.machines.put(i, machine);
            machines.put(i, machine);
        }
        try {
            node.host = node.closer.register(GroupHost.open(settings, machines, transport, time, metrics));
        } catch (CorruptLogException | StorageException e) {
            node.close();
            throw e;
        }
        nodes.put(name, node);
        return node;
    }

    void startAll() throws Exception {
        for (String name : addresses.keySet()) {
            start(name);
        }
    }

    Node node(String name) {
        return nodes.get(name);
    }

    Map<String, Node> running() {
        return nodes;
    }

    void stop(String name) {
        nodes.remove(name).close();
    }

    void wipe(String name) throws IOException {
        try (Stream<Path> files = Files.walk(root.resolve(name))) {
            files.sorted(Comparator.reverseOrder()).forEach(f -> {
                try {
                    Files.delete(f);
                } catch (IOException e) {
                    throw new UncheckedIOException(e);
                }
            });
        }
    }

    Path folder(String name, int group) {
        return root.resolve(name).resolve("group-" + group);
    }

    Optional<String> leaseHolder(int group) {
        return nodes.keySet().stream()
                .filter(n -> nodes.get(n).group(group).status().leased())
                .findFirst();
    }

    String awaitLeader(int group) throws InterruptedException {
        await("a leased leader of group " + group, () -> leaseHolder(group).isPresent());
        return leaseHolder(group).orElseThrow();
    }

    /** Proposes a command at the current leader and retries until it is acknowledged. */
    String propose(int group, String command) throws InterruptedException {
        long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(WAIT_MS);
        Throwable last = null;
        while (System.nanoTime() < end) {
            Optional<String> leader = leaseHolder(group);
            if (leader.isPresent()) {
                try {
                    byte[] reply = nodes.get(leader.get())
                            .group(group)
                            .propose(command.getBytes(StandardCharsets.UTF_8))
                            .get(5, TimeUnit.SECONDS);
                    return new String(reply, StandardCharsets.UTF_8);
                } catch (ExecutionException | TimeoutException e) {
                    last = e;
                }
            }
            TimeUnit.MILLISECONDS.sleep(10);
        }
        throw new AssertionError("command " + command + " was not acknowledged", last);
    }

    static void await(String what, BooleanSupplier condition) throws InterruptedException {
        long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(WAIT_MS);
        while (!condition.getAsBoolean()) {
            if (System.nanoTime() > end) {
                throw new AssertionError("timed out waiting for " + what);
            }
            TimeUnit.MILLISECONDS.sleep(10);
        }
    }

    @Override
    public void close() {
        nodes.values().forEach(Node::close);
    }
}
