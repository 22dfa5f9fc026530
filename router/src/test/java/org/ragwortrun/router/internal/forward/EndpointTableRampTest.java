package org.ragwortrun.router.internal.forward;

import static com.google.common.truth.Truth.assertThat;

import io.netty.channel.DefaultEventLoop;
import java.time.Duration;
import java.util.List;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.ragwortrun.core.concurrent.Closer;
import org.ragwortrun.core.config.Origin;
import org.ragwortrun.core.metrics.Metrics;
import org.ragwortrun.core.time.Time;
import org.ragwortrun.net.Address;
import org.ragwortrun.proto.EndpointList;
import org.ragwortrun.proto.ListedEndpoint;
import org.ragwortrun.router.internal.host.TrafficMeter;

final class EndpointTableRampTest {
    private static final long SECOND = 1_000_000_000L;
    private static final Origin ORIGIN = new Origin("o", true, "/", 256, 0, 0, 1, Duration.ofSeconds(3), 12);

    private final Closer closer = new Closer();
    private final AtomicLong nanos = new AtomicLong(SECOND);
    private EndpointTable table;
    private long sequence;

    @BeforeEach
    void start() {
        DefaultEventLoop loop = new DefaultEventLoop();
        closer.register(() -> loop.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly());
        ConnectionEvents events = new ConnectionEvents(closer.register(Metrics.local()));
        Time time = new Time() {
            @Override
            public long nanos() {
                return nanos.get();
            }

            @Override
            public long wallMillis() {
                return 0;
            }
        };
        RequestHeaders headers = new RequestHeaders(HeaderNames.STANDARD);
        table = new EndpointTable(
                time,
                e -> new EndpointConnectionPool(
                        loop, new Address("127.0.0.1", 1), time, headers, events, new TrafficMeter(false)),
                (endpoint, head, current) -> {},
                Duration.ofMinutes(5),
                false);
    }

    @AfterEach
    void stop() {
        closer.close();
    }

    /** Guards against a router that holds the whole service to the warm-up rate after its own start. */
    @Test
    void endpointsOfFirstListAreColdOnlyIfListedSo() {
        nanos.addAndGet(5 * SECOND);
        receive(endpoint("a", 0), endpoint("b", 2_000));
        assertThat(cold()).containsExactly("b");
    }

    /** Guards against an endpoint that is listed late as cold and gets its whole share until then. */
    @Test
    void endpointThatIsListedLaterIsColdUntilNewerListShowsOtherwise() {
        receive(endpoint("a", 0));
        nanos.addAndGet(2 * SECOND);
        receive(endpoint("a", 0), endpoint("b", 0));
        assertThat(cold()).containsExactly("b");
        nanos.addAndGet(SECOND);
        receive(endpoint("a", 0), endpoint("b", 0));
        assertThat(cold()).containsExactly("b");
        nanos.addAndGet(SECOND);
        table.apply(EndpointList.newBuilder()
                .setTerm(1)
                .setSequence(sequence)
                .setUnchanged(true)
                .build());
        assertThat(cold()).isEmpty();
    }

    /** Guards against an old list that the leader repeats while it cannot read a newer one. */
    @Test
    void listThatWasReadBeforeDoesNotEndWarmUp() {
        receive(endpoint("a", 0));
        nanos.addAndGet(2 * SECOND);
        receive(endpoint("a", 0), endpoint("b", 0));
        nanos.addAndGet(2 * SECOND);
        table.apply(EndpointList.newBuilder()
                .setTerm(1)
                .setSequence(sequence)
                .setAgeMs(1_000)
                .setUnchanged(true)
                .build());
        assertThat(cold()).containsExactly("b");
    }

    /** Guards against endpoints that restarted during an evacuation and get their whole share at its end. */
    @Test
    void endpointsAreColdAfterEvacuation() {
        receive(endpoint("a", 0));
        nanos.addAndGet(10 * SECOND);
        assertThat(cold()).isEmpty();
        long ended = nanos.get();
        table.setEvacuationEnds(dc -> "dc".equals(dc) ? OptionalLong.of(ended) : OptionalLong.empty());
        assertThat(cold()).containsExactly("a");
        nanos.addAndGet(2 * SECOND);
        receive(endpoint("a", 0));
        assertThat(cold()).isEmpty();
    }

    private List<String> cold() {
        return table.eligible(ORIGIN).stream()
                .filter(s -> s.limit().needsPermit(nanos.get()))
                .map(EndpointState::id)
                .toList();
    }

    private void receive(ListedEndpoint... endpoints) {
        sequence++;
        table.apply(EndpointList.newBuilder()
                .setTerm(1)
                .setSequence(sequence)
                .addAllEndpoints(List.of(endpoints))
                .build());
    }

    private static ListedEndpoint endpoint(String id, int coldMs) {
        return ListedEndpoint.newBuilder()
                .setId(id)
                .setService("o")
                .setAddress("127.0.0.1:1")
                .setDataCenter("dc")
                .setColdMs(coldMs)
                .build();
    }
}
