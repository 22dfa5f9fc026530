package org.ragwortrun.standins;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ThreadLocalRandom;

/**
 * Finds loopback ports for servers that tests start later or more than once.
 *
 * <p>The ports lie below those that Linux gives to outgoing connections by default, because such a connection can take a
 * port before the server listens on it.
 */
public final class FreePorts {
    private static final int FIRST = 12_000;
    private static final int END = 32_000;
    private static final Set<Integer> RETURNED = ConcurrentHashMap.newKeySet();

    private FreePorts() {}

    /**
     * Returns a port that nothing listens on and that no earlier call in this process returned.
     *
     * @throws IOException if all ports are in use
     */
    public static int next() throws IOException {
        return ThreadLocalRandom.current()
                .ints(FIRST, END)
                .limit(END - FIRST)
                .filter(FreePorts::isFree)
                .filter(RETURNED::add)
                .findFirst()
                .orElseThrow(() -> new IOException("no free port between " + FIRST + " and " + END));
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
