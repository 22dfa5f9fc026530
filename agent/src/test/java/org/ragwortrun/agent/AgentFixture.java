package org.ragwortrun.agent;

import com.google.protobuf.ByteString;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import org.ragwortrun.core.concurrent.Closer;
import org.ragwortrun.core.id.Digests;
import org.ragwortrun.core.settings.Settings;
import org.ragwortrun.net.Address;
import org.ragwortrun.net.FrameClient;
import org.ragwortrun.net.FrameHandler;
import org.ragwortrun.net.Peer;
import org.ragwortrun.net.Transport;
import org.ragwortrun.proto.Attach;
import org.ragwortrun.proto.BudgetRef;
import org.ragwortrun.proto.Dispatch;
import org.ragwortrun.proto.Frame;
import org.ragwortrun.proto.Hello;
import org.ragwortrun.proto.LoadReport;
import org.ragwortrun.proto.RequestQuery;
import org.ragwortrun.proto.RequestState;
import org.ragwortrun.proto.Role;

/** An agent with a fake control member and the endpoint that the test provides. */
final class AgentFixture implements AutoCloseable {
    static final String ROUTER = "router-1@1";
    static final int CREDIT = 64 << 10;

    static final BudgetRef BUDGET =
            BudgetRef.newBuilder().setAccount("dealer-17").setService("assay").build();
    private static final Duration WAIT = Duration.ofSeconds(10);

    private final Closer closer = new Closer();
    private final Transport network;
    private final FakeControl control;
    private AgentDaemon agent;
    private volatile LoadReport load = LoadReport.getDefaultInstance();

    AgentFixture(String kind, String url, Map<String, String> endpoint, Map<String, String> settings) throws Exception {
        network = closer.register(new Transport(
                Hello.newBuilder()
                        .setName("router-1")
                        .setIncarnation(ROUTER)
                        .setRole(Role.ROUTER)
                        .build(),
                1));
        control = closer.register(new FakeControl());
        control.addSection("service", "assay", Map.of("kind", kind, "model", "m", "version", "v1"));
        Map<String, String> endpointProperties = new HashMap<>(Map.of(
                "service", "assay", "version", "v1", "agent", "127.0.0.1:1", "url", url, "data-center", "coast-a"));
        endpointProperties.putAll(endpoint);
        control.addSection("endpoint", "assay-1", endpointProperties);
        Map<String, String> allSettings = new HashMap<>(Map.of(
                "daemon.name", "assay-1",
                "daemon.data-center", "coast-a",
                "control.members", control.address(),
                "agent.listen", "127.0.0.1:0",
                "endpoint.name", "assay-1",
                "endpoint.url", url,
                "endpoint.health-interval", "50ms",
                "agent.stop-timeout", "5s"));
        allSettings.putAll(settings);
        agent = AgentDaemon.start(Settings.of(allSettings));
        closer.register(() -> agent.close());
        FrameClient probe = connect();
        await(() -> load.getHealthy());
        awaitLease(probe);
    }

    FakeControl control() {
        return control;
    }

    AgentDaemon agent() {
        return agent;
    }

    LoadReport load() {
        return load;
    }

    /** Opens another connection of the router. */
    FrameClient connect() throws Exception {
        FrameClient client =
                closer.register(network.connect(new Address("127.0.0.1", agent.port()), new FrameHandler() {
                    @Override
                    public void onFrame(Peer peer, Frame frame) {
                        if (frame.hasLoadReport()) {
                            load = frame.getLoadReport();
                        }
                    }
                }));
        await(() -> client.peer().isPresent());
        return client;
    }

    Dispatch.Builder chat(String id, String prompt) {
        return dispatch(
                id,
                "/v1/chat/completions",
                "{\"model\":\"m\",\"messages\":[{\"role\":\"user\",\"content\":\"" + prompt + "\"}]}");
    }

    Dispatch.Builder order(String id) {
        return dispatch(id, "/orders/place", "{}")
                .setRepeatable(false)
                .setClaimed(true)
                .addHeaders(org.ragwortrun.proto.Header.newBuilder()
                        .setName("Idempotency-Key")
                        .setValue(id));
    }

    private Dispatch.Builder dispatch(String id, String path, String body) {
        byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
        return Dispatch.newBuilder()
                .setBudget(BUDGET)
                .setRequestId(id)
                .setAttempt(1)
                .setIncarnation(ROUTER)
                .setGrantId(ROUTER + "-1")
                .setAgentIncarnation(agent.incarnation())
                .setRoute("assay-chat")
                .setReserved(100_000)
                .setMaxOutput(50_000)
                .setDeadlineMs(20_000)
                .setPriority(5)
                .setRepeatable(true)
                .setMethod("POST")
                .setPath(path)
                .setBody(ByteString.copyFrom(bytes))
                .setDigest(ByteString.copyFrom(Digests.content("POST", path, bytes)))
                .setCredit(CREDIT);
    }

    AnswerReader send(FrameClient router, Dispatch.Builder dispatch) {
        return open(router, Frame.newBuilder().setDispatch(dispatch), true);
    }

    AnswerReader sendSlow(FrameClient router, Dispatch.Builder dispatch) {
        return open(router, Frame.newBuilder().setDispatch(dispatch), false);
    }

    AnswerReader attach(FrameClient router, String id, long offset) {
        return open(
                router,
                Frame.newBuilder()
                        .setAttach(Attach.newBuilder()
                                .setBudget(BUDGET)
                                .setRequestId(id)
                                .setOffset(offset)
                                .setCredit(CREDIT)),
                true);
    }

    RequestState query(FrameClient router, String id, int attempt, boolean tombstone) throws Exception {
        Frame.Builder frame = Frame.newBuilder()
                .setRequestQuery(RequestQuery.newBuilder()
                        .setBudget(BUDGET)
                        .setRequestId(id)
                        .setAttempt(attempt)
                        .setSetTombstone(tombstone));
        CompletableFuture<Frame> reply = router.call(frame, WAIT);
        return reply.get(WAIT.toSeconds(), TimeUnit.SECONDS).getRequestState();
    }

    private static AnswerReader open(FrameClient router, Frame.Builder frame, boolean renewsCredit) {
        AnswerReader reader = new AnswerReader(renewsCredit);
        return reader.opened(router.peer().orElseThrow().open(frame, reader));
    }

    /** Returns the reason for refusing a request whose body always exceeds the size limit. */
    String probe(FrameClient router) throws Exception {
        return send(router, chat("probe", "x").setBody(ByteString.copyFrom(new byte[2 << 20])))
                .refused()
                .getReason();
    }

    private void awaitLease(FrameClient router) throws Exception {
        long end = System.nanoTime() + WAIT.toNanos();
        while ("configuration-lease-expired".equals(probe(router))) {
            if (System.nanoTime() > end) {
                throw new AssertionError("no configuration lease");
            }
            TimeUnit.MILLISECONDS.sleep(10);
        }
    }

    static void await(BooleanSupplier condition) throws InterruptedException {
        long end = System.nanoTime() + WAIT.toNanos();
        while (!condition.getAsBoolean()) {
            if (System.nanoTime() > end) {
                throw new AssertionError("condition was not met in time");
            }
            TimeUnit.MILLISECONDS.sleep(5);
        }
    }

    @Override
    public void close() {
        closer.close();
    }
}
