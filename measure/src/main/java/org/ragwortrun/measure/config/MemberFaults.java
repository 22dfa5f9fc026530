package org.ragwortrun.measure.config;

import java.io.IOException;
import java.net.InetAddress;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.apache.commons.rng.UniformRandomProvider;
import org.ragwortrun.measure.fleet.Fleet;
import org.ragwortrun.measure.fleet.FleetException;
import org.ragwortrun.measure.fleet.FleetProcess;

/** Faults of control members, one member at a time. */
final class MemberFaults {
    private static final int LEAST_FREEZE_MS = 300;
    private static final int MOST_FREEZE_MS = 3_800;
    private static final int MOST_DOWN_MS = 1_500;
    // A member that has started again follows the log.
    private static final long RETURN_MS = 1_200;
    // A member without data has been replaced by its new identity, as a voter.
    private static final long REPAIR_MS = 4_000;
    // A member that was lost has been removed after its replacement was added.
    private static final long REPLACE_MS = 7_000;

    private final Fleet processes;
    private final Supplier<Optional<String>> leader;
    private final UniformRandomProvider random;
    private final DisturbanceLog log;
    private final List<String> members;
    private int replaced;

    /**
     * Creates the faults.
     *
     * @param leader returns the leader, if it is known
     */
    MemberFaults(
            ConfigFleet fleet, Supplier<Optional<String>> leader, UniformRandomProvider random, DisturbanceLog log) {
        processes = fleet.processes();
        this.leader = leader;
        this.random = random;
        this.log = log;
        members = new ArrayList<>(fleet.members());
    }

    /** Returns the faults. Those of the leader come more than once. */
    List<FaultPlayer.Fault> all() {
        return List.of(
                () -> kill(leader()),
                () -> kill(leader()),
                () -> kill(any()),
                () -> stop(leader()),
                () -> stop(leader()),
                () -> freeze(leader()),
                () -> freeze(any()),
                () -> wipe(members.get(anyButFirst())),
                this::replace,
                this::replace);
    }

    private void kill(String name) throws FleetException, InterruptedException {
        log.fault("member_killed", name);
        FleetProcess p = processes.process(name);
        p.kill();
        sleep(random.nextInt(MOST_DOWN_MS));
        start(p);
        sleep(RETURN_MS);
    }

    private void stop(String name) throws FleetException, InterruptedException {
        log.fault("member_stopped", name);
        FleetProcess p = processes.process(name);
        p.stop();
        sleep(random.nextInt(MOST_DOWN_MS));
        start(p);
        sleep(RETURN_MS);
    }

    private void freeze(String name) throws FleetException, InterruptedException {
        int ms = random.nextInt(LEAST_FREEZE_MS, MOST_FREEZE_MS);
        log.fault("member_frozen", name + " ms=" + ms);
        FleetProcess p = processes.process(name);
        p.setSuspended(true);
        try {
            sleep(ms);
        } finally {
            p.setSuspended(false);
        }
        sleep(RETURN_MS);
    }

    private void wipe(String name) throws FleetException, InterruptedException {
        log.fault("member_wiped", name);
        FleetProcess p = processes.process(name);
        p.kill();
        processes.deleteData(name);
        sleep(random.nextInt(MOST_DOWN_MS));
        start(p);
        sleep(REPAIR_MS);
    }

    /** Replaces a member by one at another address. */
    private void replace() throws FleetException, InterruptedException {
        int index = anyButFirst();
        String old = members.get(index);
        replaced++;
        String name = "x" + replaced;
        log.fault("member_replaced", old + " by=" + name);
        processes.process(old).kill();
        processes.addJoiningControl(name, "dc" + (index + 1));
        start(processes.process(name));
        members.set(index, name);
        sleep(REPLACE_MS);
    }

    /** Starts a member and waits until it listens, so that the next fault does not take a majority. */
    private void start(FleetProcess p) throws FleetException {
        p.start();
        int port = processes.controlPort(p.name());
        processes.await(p.name() + " to listen", () -> isListening(port));
    }

    private static boolean isListening(int port) {
        try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), port)) {
            return socket.isConnected();
        } catch (IOException e) {
            return false;
        }
    }

    private String leader() {
        return leader.get().filter(members::contains).orElseGet(this::any);
    }

    /** Returns the index of a member that may lose its data. The settings of the other processes name the first one for good. */
    private int anyButFirst() {
        return random.nextInt(1, members.size());
    }

    private String any() {
        return members.get(random.nextInt(members.size()));
    }

    private static void sleep(long ms) throws InterruptedException {
        TimeUnit.MILLISECONDS.sleep(ms);
    }
}
