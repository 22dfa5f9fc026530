package org.ragwortrun.router.internal.limits;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.ragwortrun.core.concurrent.Closer;
import org.ragwortrun.core.metrics.Metrics;
import org.ragwortrun.core.time.Time;
import org.ragwortrun.net.Address;
import org.ragwortrun.net.Transport;
import org.ragwortrun.proto.Hello;
import org.ragwortrun.router.internal.pool.PeerLinks;
import org.ragwortrun.router.internal.pool.RouterPeer;
import org.ragwortrun.routing.EndpointLimit;
import org.ragwortrun.routing.LimitStatement;
import org.ragwortrun.routing.WarmUp;

/** Tests a router that coordinates the limit of an endpoint itself. */
final class PermitClientTest {
    private static final String ENDPOINT = "e1";
    private static final long SECOND_NANOS = 1_000_000_000;

    private final Closer closer = new Closer();
    private final AtomicLong nanos = new AtomicLong();
    private final List<Boolean> decisions = new ArrayList<>();
    private final EndpointLimit limit = new EndpointLimit();
    private boolean fails;
    private PermitClient permits;

    @BeforeEach
    void start() {
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
        Transport transport = closer.register(new Transport(Hello.getDefaultInstance(), 1));
        PeerLinks links = closer.register(new PeerLinks("r1", transport, (peer, frame) -> {}));
        links.update(List.of(new RouterPeer("r1", "a", new Address("127.0.0.1", 1))));
        Metrics metrics = closer.register(Metrics.local());
        limit.record(new LimitStatement(10, 0, 0));
        permits = new PermitClient(
                "r1",
                links,
                new PermitServer("r1", links, metrics, time),
                (endpoint, statement) -> {
                    if (fails) {
                        throw new IllegalStateException("test");
                    }
                },
                () -> 1,
                Runnable::run,
                metrics,
                time,
                () -> 0);
    }

    @AfterEach
    void stop() {
        closer.close();
    }

    /** Guards against an endpoint that gets no request any more because one question about its limit failed. */
    @Test
    void asksAgainAfterFailedQuestion() {
        failQuestions(true);
        assertThrows(IllegalStateException.class, () -> permits.acquire(ENDPOINT, limit, decisions::add));
        failQuestions(false);
        nanos.addAndGet(SECOND_NANOS);
        permits.acquire(ENDPOINT, limit, decisions::add);
        assertThat(decisions).containsExactly(true);
    }

    /** Guards against requests to a cold endpoint without a limit that are permitted as if it were warm. */
    @Test
    void holdsColdEndpointToWarmUpRate() {
        EndpointLimit cold = new EndpointLimit();
        cold.ramp().warmUp().setBounds(4, 60 * SECOND_NANOS);
        cold.ramp().warmUp().onSign(WarmUp.Sign.STARTED, nanos.get());
        for (int i = 0; i < 1_000; i++) {
            nanos.addAndGet(SECOND_NANOS / 100);
            permits.acquire("e2", cold, decisions::add);
        }
        assertThat(decisions.stream().filter(d -> d).count()).isAtMost(40);
        assertThat(decisions.stream().filter(d -> d).count()).isAtLeast(30);
    }

    private void failQuestions(boolean value) {
        fails = value;
    }
}
