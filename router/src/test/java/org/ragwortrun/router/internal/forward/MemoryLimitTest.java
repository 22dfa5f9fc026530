package org.ragwortrun.router.internal.forward;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.ragwortrun.core.metrics.Metrics;

final class MemoryLimitTest {
    private static final long MAX_BYTES = 1 << 20;

    private final Metrics metrics = Metrics.local();
    private final List<Connection> connections = new ArrayList<>();
    private final MemoryLimit limit = new MemoryLimit(MAX_BYTES, () -> connections, metrics);

    @AfterEach
    void close() {
        metrics.close();
    }

    /** Connection that holds what it has received. */
    private final class Connection implements MemoryLimit.Holder {
        private long held;
        private boolean released;

        Connection() {
            connections.add(this);
        }

        void receive(int bytes) {
            held += bytes;
            limit.onReceived(bytes);
        }

        @Override
        public long heldBytes() {
            return held;
        }

        @Override
        public void releaseMemory() {
            held = 0;
            released = true;
        }
    }

    /** Guards against many connections that stay below a limit of their own and fill the memory together. */
    @Test
    void limitsSumOverConnections() {
        for (int i = 0; i < 100; i++) {
            new Connection();
        }
        for (int round = 0; round < 20; round++) {
            connections.forEach(c -> c.receive(4 << 10));
            long held = connections.stream().mapToLong(Connection::heldBytes).sum();
            assertThat(held).isAtMost(MAX_BYTES + (256 << 10));
            assertThat(limit.heldBytes()).isAtMost(MAX_BYTES);
        }
    }

    /** Guards against small requests that end because of a connection that holds far more. */
    @Test
    void releasesLargestHolderFirst() {
        Connection small = new Connection();
        Connection large = new Connection();
        small.receive(10_000);
        for (int i = 0; i < 200 && !large.released; i++) {
            large.receive(64 << 10);
        }
        assertThat(large.released).isTrue();
        assertThat(small.released).isFalse();
    }

    /** Guards against requests that end although there is memory for them. */
    @Test
    void releasesNothingBelowLimit() {
        Connection one = new Connection();
        for (int i = 0; i < 16; i++) {
            one.receive(64 << 10);
        }
        assertThat(one.released).isFalse();
        assertThat(limit.heldBytes()).isEqualTo(MAX_BYTES);
    }
}
