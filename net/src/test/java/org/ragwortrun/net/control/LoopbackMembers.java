package org.ragwortrun.net.control;

import static com.google.common.truth.Truth.assertThat;

import java.util.Map;
import java.util.function.BooleanSupplier;
import org.ragwortrun.core.concurrent.Closer;
import org.ragwortrun.net.Address;
import org.ragwortrun.net.FrameHandler;
import org.ragwortrun.net.FrameServer;
import org.ragwortrun.net.Transport;
import org.ragwortrun.proto.Hello;
import org.ragwortrun.proto.Role;

/** Scripted control members on loopback, and clients of them. */
final class LoopbackMembers implements AutoCloseable {
    static final FrameHandler SILENT = (peer, frame) -> {};

    private static final String HOST = "127.0.0.1";
    private static final int POLLS = 400;
    private static final long POLL_MS = 10;

    private final Closer closer = new Closer();

    /** Starts a member that handles frames as given. */
    FrameServer listen(String name, FrameHandler handler) throws Exception {
        return listen(name, Role.CONTROL, handler);
    }

    FrameServer listen(String name, Role role, FrameHandler handler) throws Exception {
        return closer.register(transport(name, role).listen(new Address(HOST, 0), handler));
    }

    /** Returns a client whose settings name one member, {@code c1}. */
    ControlClient client(int port) {
        return client(Map.of("c1", new Address(HOST, port)));
    }

    ControlClient client(Map<String, Address> members) {
        return closer.register(new ControlClient(transport("r1", Role.ROUTER), members, SILENT));
    }

    static Address address(FrameServer server) {
        return new Address(HOST, server.port());
    }

    /** Waits until a condition holds, and fails if it does not in time. */
    static void await(BooleanSupplier condition) throws InterruptedException {
        for (int i = 0; i < POLLS && !condition.getAsBoolean(); i++) {
            Thread.sleep(POLL_MS);
        }
        assertThat(condition.getAsBoolean()).isTrue();
    }

    private Transport transport(String name, Role role) {
        return closer.register(
                new Transport(Hello.newBuilder().setName(name).setRole(role).build(), 1));
    }

    @Override
    public void close() {
        closer.close();
    }
}
