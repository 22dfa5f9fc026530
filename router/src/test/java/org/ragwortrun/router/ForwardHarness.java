package org.ragwortrun.router;

import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.ragwortrun.core.concurrent.Closer;
import org.ragwortrun.core.error.RagwortrunException;
import org.ragwortrun.core.id.Digests;
import org.ragwortrun.core.settings.Settings;
import org.ragwortrun.net.Address;
import org.ragwortrun.net.FrameServer;
import org.ragwortrun.net.Transport;
import org.ragwortrun.net.TransportException;
import org.ragwortrun.proto.ApplyTopUps;
import org.ragwortrun.proto.EndpointList;
import org.ragwortrun.proto.Frame;
import org.ragwortrun.proto.Hello;
import org.ragwortrun.proto.Role;
import org.ragwortrun.proto.RouterAddress;
import org.ragwortrun.proto.ShardCommand;
import org.ragwortrun.proto.TopUp;
import org.ragwortrun.router.internal.forward.HeaderNames;
import org.ragwortrun.standins.FreePorts;

/** Forwarding routers over real connections, with one control member, one account and scripted endpoints. */
final class ForwardHarness implements AutoCloseable {
    static final int TIMEOUT_MS = 5_000;

    final FakeControl control = new FakeControl();
    private final Closer closer = new Closer();
    private final List<ScriptedEndpoint> endpoints = new ArrayList<>();
    private final List<RouterAddress> routers = new ArrayList<>();
    private int listSequence;
    private final FrameServer server;

    ForwardHarness() throws TransportException {
        control.putSection("origin", "o", Map.of("tokens-per-event", "2"));
        addRoute("read", "/read/", "idempotent", "no");
        addRoute("order", "/order/", "once", "no");
        addRoute("guide", "/guide/", "stream", "yes");
        addRoute("draft", "/draft/", "stream", "no");
        control.putSection("account", "c", Map.of("keys", Digests.apiKey("secret"), "metered", "yes"));
        control.putSection("budget", "c", Map.of("prepaid", "1000"));
        setPrepaid(1_000);
        Transport transport = closer.register(new Transport(
                Hello.newBuilder().setName("c1").setRole(Role.CONTROL).build(), 1));
        server = closer.register(transport.listen(new Address("127.0.0.1", 0), control));
    }

    /** Adds a route, which is in force after the next change of the configuration. */
    void addRoute(String name, String path, String kind, String resumable) {
        control.putSection(
                "forward",
                name,
                Map.of(
                        "host",
                        "h",
                        "path",
                        path,
                        "kind",
                        kind,
                        "resumable",
                        resumable,
                        "to",
                        "o",
                        "timeout",
                        "3s",
                        "attempts",
                        "2"));
    }

    /** Sets the total prepaid amount of the account. */
    void setPrepaid(long tokens) {
        control.apply(
                "c",
                ShardCommand.newBuilder()
                        .setApplyTopUps(ApplyTopUps.newBuilder()
                                .setConfigNumber(1)
                                .addTopUps(TopUp.newBuilder()
                                        .setBudget(FakeControl.budget("c", "*"))
                                        .setTokens(tokens)
                                        .setTotal(true))));
    }

    /** Adds an endpoint, which running routers discover within a second and routers started later at once. */
    ScriptedEndpoint addEndpoint(String id, ScriptedEndpoint.Script script) throws IOException {
        ScriptedEndpoint e = closer.register(new ScriptedEndpoint(id, script));
        synchronized (endpoints) {
            endpoints.add(e);
        }
        return e;
    }

    /** Starts a router and waits until it is ready or the timeout has passed. */
    Router startRouter(String name) throws IOException, RagwortrunException, InterruptedException {
        return startRouter(name, Map.of());
    }

    /** Starts a router with further settings and waits until it is ready or the timeout has passed. */
    Router startRouter(String name, Map<String, String> further)
            throws IOException, RagwortrunException, InterruptedException {
        int port = FreePorts.next();
        int readiness = FreePorts.next();
        Address peers = new Address("127.0.0.1", FreePorts.next());
        Map<String, String> settings = new HashMap<>(Map.of(
                "daemon.name",
                name,
                "daemon.data-center",
                "dc",
                "peers.address",
                peers.toString(),
                "control.members",
                "c1=127.0.0.1:" + server.port(),
                "cluster.shards",
                Integer.toString(FakeControl.SHARDS),
                "http.address",
                "127.0.0.1:" + port,
                "http.readiness",
                "127.0.0.1:" + readiness,
                "daemon.stop-linger",
                "0ms",
                "daemon.stop-timeout",
                "2s"));
        settings.putAll(further);
        ForwardDaemon daemon = closer.register(
                ForwardDaemon.start(Settings.of(settings), HeaderNames.STANDARD, this::listed, System.nanoTime()));
        long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(TIMEOUT_MS);
        while (!isReady(readiness) && System.nanoTime() < end) {
            Thread.sleep(20);
        }
        routers.add(RouterAddress.newBuilder()
                .setName(name)
                .setDataCenter("dc")
                .setAddress(peers.toString())
                .build());
        return new Router(daemon, port, readiness, peers);
    }

    /** Sends the lists of endpoints and routers to all routers, as the leader does. */
    void sendRouterList() {
        control.sendToAll(Frame.newBuilder()
                .setEndpointList(EndpointList.newBuilder()
                        .setTerm(1)
                        .setSequence(++listSequence)
                        .setRouters(routers.size())
                        .addAllEndpoints(listed())
                        .addAllPeers(routers))
                .build());
    }

    private List<org.ragwortrun.proto.ListedEndpoint> listed() {
        synchronized (endpoints) {
            return endpoints.stream().map(ScriptedEndpoint::listed).toList();
        }
    }

    private static boolean isReady(int readiness) throws IOException {
        try (Socket s = new Socket("127.0.0.1", readiness)) {
            s.setSoTimeout(TIMEOUT_MS);
            s.getOutputStream().write("GET / HTTP/1.1\r\nHost: h\r\n\r\n".getBytes(StandardCharsets.ISO_8859_1));
            byte[] status = s.getInputStream().readNBytes(12);
            return new String(status, StandardCharsets.ISO_8859_1).endsWith("200");
        }
    }

    @Override
    public void close() {
        closer.close();
    }

    /** A started router, the port for its callers, that of its readiness check, and the address for other routers. */
    record Router(ForwardDaemon daemon, int port, int readiness, Address peers) {
        /** Returns whether the readiness check succeeds. */
        boolean isReady() throws IOException {
            return ForwardHarness.isReady(readiness);
        }

        /** Sends a request and returns the complete answer, which is empty if the connection was closed without one. */
        String send(String request) throws IOException {
            return send(request, TIMEOUT_MS);
        }

        /** Sends a request and returns the answer, or an empty string after a timeout other than the default one. */
        String send(String request, int timeoutMs) throws IOException {
            try (Socket s = new Socket("127.0.0.1", port)) {
                s.setSoTimeout(timeoutMs);
                s.getOutputStream().write(request.getBytes(StandardCharsets.ISO_8859_1));
                return new String(s.getInputStream().readAllBytes(), StandardCharsets.ISO_8859_1);
            } catch (java.net.SocketTimeoutException e) {
                if (timeoutMs == TIMEOUT_MS) {
                    throw e;
                }
                return "";
            }
        }
    }
}
