package org.ragwortrun.measure.fleet;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.util.HashSet;
import java.util.Set;
import java.util.concurrent.ThreadLocalRandom;

/** Finds free loopback ports and never returns one twice. */
final class Ports {
    static final String HOST = "127.0.0.1";

    // Below the ports of outgoing connections, one of which could take the port of a process that starts again.
    private static final int FIRST = 12_000;
    private static final int END = 32_000;

    private final Set<Integer> usedPorts = new HashSet<>();

    synchronized int next() throws FleetException {
        for (int i = FIRST; i < END; i++) {
            int port = ThreadLocalRandom.current().nextInt(FIRST, END);
            if (usedPorts.add(port) && isFree(port)) {
                return port;
            }
        }
        throw new FleetException("cannot find a free loopback port");
    }

    private static boolean isFree(int port) {
        try (ServerSocket socket = new ServerSocket()) {
            socket.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), port));
            return true;
        } catch (IOException e) {
            return false;
        }
    }
}
