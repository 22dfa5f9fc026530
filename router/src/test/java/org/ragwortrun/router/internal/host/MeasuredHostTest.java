package org.ragwortrun.router.internal.host;

import static com.google.common.truth.Truth.assertThat;

import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import java.util.List;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.ragwortrun.core.concurrent.Closer;
import org.ragwortrun.core.metrics.Metrics;
import org.ragwortrun.core.time.Time;
import org.ragwortrun.net.Address;
import org.ragwortrun.net.FrameHandler;
import org.ragwortrun.net.Transport;
import org.ragwortrun.proto.Hello;
import org.ragwortrun.router.internal.pool.PeerLinks;
import org.ragwortrun.router.internal.pool.RouterPeer;
import org.ragwortrun.routing.HostLoad;

/** Tests the guard of a host whose router decides about withdrawals itself. */
final class MeasuredHostTest {
    private static final String DATA_CENTER = "dc";
    private static final int LINK = 100_000;
    private static final long INTERVAL_NANOS = 100_000_000L;
    private static final int SECOND = 10;

    private final Closer closer = new Closer();
    private final ManualTime time = new ManualTime();
    private final TrafficMeter traffic = new TrafficMeter(true);
    private final EmbeddedChannel channel = new EmbeddedChannel();
    private final PeerLinks links = closer.register(new PeerLinks(
            "r0", closer.register(new Transport(Hello.newBuilder().setName("r0").build(), 1)), (FrameHandler)
                    (peer, frame) -> {}));
    private long processorNanos;
    private WithdrawalServer server = new WithdrawalServer("r0", DATA_CENTER, links, time);
    private MeasuredHost host = host("r0");

    /** A clock that only the test advances. */
    private static final class ManualTime implements Time {
        private long nanos;

        @Override
        public long nanos() {
            return nanos;
        }

        @Override
        public long wallMillis() {
            return nanos / 1_000_000;
        }
    }

    @AfterEach
    void stop() {
        channel.finishAndReleaseAll();
        closer.close();
    }

    @Test
    void refusesWhenMoreIsWrittenThanLinkCarries() {
        traffic.watch(channel.pipeline());
        assertThat(run(2 * SECOND, LINK / 20, 0)).isEqualTo(0);
        assertThat(host.isShedding()).isFalse();
        assertThat(run(2 * SECOND, LINK / 5, 0)).isGreaterThan(10);
        assertThat(host.isShedding()).isTrue();
    }

    /** Guards against refusals while a process compiles its code after its start, which they do not shorten. */
    @Test
    void refusesForProcessorOnlyAfterStart() {
        assertThat(run(10 * SECOND, 0, INTERVAL_NANOS)).isEqualTo(0);
        run(5 * SECOND, 0, INTERVAL_NANOS);
        assertThat(run(2 * SECOND, 0, INTERVAL_NANOS)).isGreaterThan(10);
    }

    @Test
    void leavesRotationAsHubAndReturns() {
        List<RouterPeer> routers = Stream.of("r0", "r1", "r2")
                .map(n -> new RouterPeer(n, DATA_CENTER, new Address("127.0.0.1", 1)))
                .toList();
        links.update(routers);
        String hub = links.hub(DATA_CENTER).orElseThrow().name();
        server = new WithdrawalServer(hub, DATA_CENTER, links, time);
        host = host(hub);
        traffic.watch(channel.pipeline());
        run(12 * SECOND, 0, 0);
        run(2 * SECOND, LINK / 5, 0);
        assertThat(host.isWithdrawn()).isTrue();
        assertThat(closedAnswers()).isEqualTo(0);
        run(2 * SECOND, LINK / 5, 0);
        assertThat(closedAnswers()).isEqualTo(2);
        run(5 * SECOND, 0, 0);
        assertThat(host.isWithdrawn()).isFalse();
        assertThat(closedAnswers()).isEqualTo(0);
    }

    /** Returns how many of 16 answers close their connection. */
    private long closedAnswers() {
        return IntStream.range(0, 16).filter(i -> host.closesConnections()).count();
    }

    /** Guards against a connection whose bytes are counted twice, or not at all. */
    @Test
    void countsBytesWithOverheadOnce() {
        traffic.watch(channel.pipeline());
        channel.write(Unpooled.buffer().writeZero(100));
        channel.writeAndFlush(Unpooled.buffer().writeZero(100));
        assertThat(traffic.bytesOut()).isEqualTo(200 + 66);
        assertThat(traffic.bytesIn()).isEqualTo(66);
        channel.writeInbound(Unpooled.buffer().writeZero(1_500));
        assertThat(traffic.bytesIn()).isEqualTo(66 + 1_500 + 2 * 66);
        assertThat(traffic.bytesOut()).isEqualTo(200 + 66 + 66);
    }

    private MeasuredHost host(String name) {
        return new MeasuredHost(
                new HostLoad.Capacity(LINK, 0.5),
                traffic,
                () -> processorNanos,
                new WithdrawalClient(name, DATA_CENTER, links, server, links::size),
                Runnable::run,
                closer.register(Metrics.local()),
                time);
    }

    /** Runs intervals with ten requests each, and returns how many were refused. */
    private int run(int intervals, int writtenBytes, long processor) {
        int refused = 0;
        for (int i = 0; i < intervals; i++) {
            time.nanos += INTERVAL_NANOS;
            processorNanos += processor;
            for (int r = 0; r < 10; r++) {
                refused += host.accepts(1, "a", true) ? 0 : 1;
            }
            if (writtenBytes > 0) {
                channel.writeAndFlush(Unpooled.buffer().writeZero(writtenBytes));
                channel.releaseOutbound();
            }
            server.run();
            host.run();
        }
        return refused;
    }
}
