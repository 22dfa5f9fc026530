package org.ragwortrun.measure.fleet;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.util.HashSet;
import java.util.Set;

/** Finds free loopback ports and never returns one twice. */
final class Ports {
    static final String HOST = "127.0.0.1";

    private final Set<Integer> usedPorts = new HashSet<>();

    synchronized int next() throws FleetException {
        while (true) {
            try (ServerSocket socket = new ServerSocket()) {
                socket.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
                if (usedPorts.add(socket.getLocalPort())) {
                    return socket.getLocalPort();
                }
            } catch (IOException e) {
                throw new FleetException("cannot find a free loopback port", e);
            }
        }
    }
}
