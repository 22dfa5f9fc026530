package org.ragwortrun.agent.internal;

import java.time.Duration;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.ragwortrun.agent.AdmissionGate;
import org.ragwortrun.core.concurrent.Closer;
import org.ragwortrun.core.concurrent.SingleThreadExecutor;
import org.ragwortrun.core.config.Endpoint;
import org.ragwortrun.core.config.Service;
import org.ragwortrun.core.error.RagwortrunException;
import org.ragwortrun.core.log.Event;
import org.ragwortrun.core.metrics.Metrics;
import org.ragwortrun.core.refusal.Refusal;
import org.ragwortrun.core.refusal.RefusalReason;
import org.ragwortrun.core.time.Time;
import org.ragwortrun.net.Address;
import org.ragwortrun.net.FrameHandler;
import org.ragwortrun.net.FrameServer;
import org.ragwortrun.net.Peer;
import org.ragwortrun.net.Transport;
import org.ragwortrun.net.TransportException;
import org.ragwortrun.net.control.ConfigWatch;
import org.ragwortrun.net.control.ControlClient;
import org.ragwortrun.proto.CrashReport;
import org.ragwortrun.proto.Frame;
import org.ragwortrun.proto.Hello;
import org.ragwortrun.proto.Role;

/** Connects the agent's parts: the network, the request thread, the endpoint and the control members. */
public final class AgentProcess implements AutoCloseable {
    private static final Logger LOG = LogManager.getLogger(AgentProcess.class);
    // Events of control members and the engine use at most one entry per request; the rest is for frames of routers.
    private static final int QUEUE_CAPACITY = 4_096;
    private static final int TICK_MS = 50;
    private static final int TICKS_PER_REPORT = 2;
    private static final int META_GROUP = 0;
    private static final Duration CONFIRM_INTERVAL = Duration.ofSeconds(1);
    private static final Duration CRASH_REPORT_TIMEOUT = Duration.ofSeconds(5);
    private static final int CRASH_REPORT_ATTEMPTS = 5;
    private static final Duration SETTLE_GRACE = Duration.ofSeconds(30);
    private static final int CLOSE_POLL_MS = 20;

    private final AgentSettings settings;
    private final AgentIdentity identity;
    private final SingleThreadExecutor executor;
    private final Transport transport;
    private final ControlClient control;
    private final ConfigWatch watch;
    private final RequestDispatcher dispatcher;
    private final LoadReporter reporter;
    private final LoadOrderHandler loadOrderHandler;
    private final FrameServer server;
    private final Closer closer = new Closer();
    private final AtomicBoolean closing = new AtomicBoolean();
    private final Set<Peer> controlPeers = ConcurrentHashMap.newKeySet();
    private int ticks;

    private AgentProcess(AgentSettings settings, AdmissionGate gate, Time time) throws RagwortrunException {
        this.settings = settings;
        // Control members identify an agent by the name of its endpoint.
        identity = new AgentIdentity(settings.endpoint(), time);
        Metrics metrics = closer.register(Metrics.exporting(settings.listen().host(), settings.metricsPort()));
        AgentSettings.Timing timing = settings.timing();
        HttpEndpoint endpoint = closer.register(new HttpEndpoint(settings.url(), timing.connect(), timing.idle()));
        EndpointLimitGate limit = new EndpointLimitGate(time, metrics);
        transport = closer.register(new Transport(hello(), 1));
        ScheduledExecutorService timer = SingleThreadExecutor.timer("timer");
        closer.register(() -> SingleThreadExecutor.stop(timer));
        executor = closer.register(new SingleThreadExecutor("requests", QUEUE_CAPACITY));
        control = closer.register(new ControlClient(transport, settings.control(), new ControlFrameHandler()));
        watch = closer.register(new ConfigWatch(control, timer, time, metrics, c -> {}));
        PlainHttpClient.RetryPolicy noRetries = new PlainHttpClient.RetryPolicy("", 0, 0);
        EndpointClientFactory clients = EndpointClientFactory.caching((kind, header) -> kind == Service.Kind.MODEL
                ? new ChatCompletionsClient(endpoint, limit, time)
                : new PlainHttpClient(
                        endpoint,
                        limit,
                        timer,
                        time,
                        header.isEmpty()
                                ? noRetries
                                : new PlainHttpClient.RetryPolicy(
                                        header,
                                        timing.dedupeRepeats(),
                                        timing.dedupePause().toMillis())));
        HealthMonitor[] health = new HealthMonitor[1];
        dispatcher = new RequestDispatcher(
                settings,
                identity,
                time,
                metrics,
                watch::inForce,
                watch::latest,
                gate,
                new RequestDispatcher.Ports(
                        clients,
                        control::call,
                        executor::offer,
                        () -> health[0].check(),
                        report -> reportCrash(report, CRASH_REPORT_ATTEMPTS),
                        this::reconnectAll,
                        limit));
        reporter = new LoadReporter(dispatcher, time);
        loadOrderHandler = new LoadOrderHandler(endpoint, executor::offer);
        health[0] = new HealthMonitor(
                endpoint, timer, this::isEngine, executor::offer, dispatcher::onHealth, dispatcher::onLoad);
        server = listen();
        watch.start(CONFIRM_INTERVAL);
        health[0].start(timing.healthInterval().toMillis());
        SingleThreadExecutor.repeat(timer, this::queueTick, TICK_MS, TICK_MS);
    }

    private FrameServer listen() throws TransportException {
        try {
            return closer.register(transport.listen(settings.listen(), new RouterFrameHandler()));
        } catch (TransportException e) {
            closer.close();
            throw e;
        }
    }

    /**
     * Starts all parts.
     *
     * @throws RagwortrunException if the address cannot be bound
     */
    public static AgentProcess start(AgentSettings settings, AdmissionGate gate, Time time) throws RagwortrunException {
        AgentProcess process = new AgentProcess(settings, gate, time);
        Event.of("agent-started")
                .with("name", settings.name())
                .with("incarnation", process.incarnation())
                .with("endpoint", settings.endpoint())
                .with("port", process.port())
                .info(LOG);
        return process;
    }

    /** Replaces the control members of the settings. */
    public void configureMembers(Map<String, Address> members) {
        control.configure(members);
    }

    public int port() {
        return server.port();
    }

    public long unsentBytes() {
        return dispatcher.totalUnsent();
    }

    public String incarnation() {
        return identity.incarnation();
    }

    @Override
    public void close() {
        if (closing.getAndSet(true)) {
            return;
        }
        Event.of("agent-leaving").with("name", settings.name()).info(LOG);
        enqueue(dispatcher::stopAccepting);
        enqueue(reporter::tick);
        awaitIdle(settings.timing().stop().plus(SETTLE_GRACE));
        closer.close();
        Event.of("agent-stopped").with("name", settings.name()).info(LOG);
    }

    private void awaitIdle(Duration timeout) {
        long end = System.nanoTime() + timeout.toNanos();
        try {
            while (System.nanoTime() - end < 0) {
                CompletableFuture<Boolean> idle = new CompletableFuture<>();
                enqueue(() -> idle.complete(dispatcher.isIdle()));
                if (idle.completeOnTimeout(false, 1, TimeUnit.SECONDS).join()) {
                    return;
                }
                TimeUnit.MILLISECONDS.sleep(CLOSE_POLL_MS);
            }
            Event.of("stop-timeout").with("seconds", timeout.toSeconds()).warn(LOG);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void queueTick() {
        enqueue(() -> {
            dispatcher.tick();
            if (++ticks % TICKS_PER_REPORT == 0) {
                reporter.tick();
            }
        });
    }

    /** Queues a task that is repeated periodically, so it may be dropped if the queue is full. */
    private void enqueue(Runnable task) {
        executor.offer(task);
    }

    private boolean isEngine() {
        return watch.latest()
                .flatMap(c ->
                        c.endpoint(settings.endpoint()).map(Endpoint::service).flatMap(c::service))
                .map(s -> s.kind() == Service.Kind.MODEL)
                .orElse(false);
    }

    private void reportCrash(CrashReport report, int attempts) {
        control.call(META_GROUP, Frame.newBuilder().setCrashReport(report), CRASH_REPORT_TIMEOUT)
                .whenComplete((reply, failure) -> {
                    if (failure != null && attempts > 1 && !closing.get()) {
                        // The receiver recognizes a resent report by its request, endpoint and incarnation.
                        reportCrash(report, attempts - 1);
                    }
                });
    }

    /** Closes all connections so that they are reopened: peers read the incarnation only from the first message. */
    private void reconnectAll() {
        transport.setLocalHello(hello());
        server.disconnect();
        controlPeers.forEach(Peer::close);
    }

    private Hello hello() {
        return Hello.newBuilder()
                .setName(identity.name())
                .setIncarnation(identity.incarnation())
                .setRole(Role.AGENT)
                .setDataCenter(settings.dataCenter())
                .build();
    }

    /** Handles frames of routers. */
    private final class RouterFrameHandler implements FrameHandler {
        @Override
        public void onConnected(Peer peer) {
            enqueueOrClose(peer, () -> reporter.onConnected(peer));
        }

        @Override
        public void onFrame(Peer peer, Frame frame) {
            switch (frame.getBodyCase()) {
                case DISPATCH -> {
                    if (!executor.offer(() -> dispatcher.onDispatch(peer, frame))) {
                        Refusal refusal = Refusal.notRun(
                                RefusalReason.OVERLOADED, "the agent's task queue is full", Duration.ofSeconds(1));
                        peer.send(Frame.newBuilder()
                                .setCall(frame.getCall())
                                .setRefused(Refusals.toWire(refusal))
                                .build());
                    }
                }
                case ATTACH -> enqueueOrClose(peer, () -> dispatcher.onAttach(peer, frame));
                case CREDIT ->
                    enqueueOrClose(
                            peer,
                            () -> dispatcher.onCredit(
                                    peer, frame.getCall(), frame.getCredit().getBytes()));
                case CANCEL ->
                    enqueueOrClose(
                            peer,
                            () -> dispatcher.onCancel(
                                    peer, frame.getCall(), frame.getCancel().getReason()));
                case REQUEST_QUERY -> enqueueOrClose(peer, () -> dispatcher.onQuery(peer, frame));
                default ->
                    Event.of("unexpected-frame")
                            .with("peer", peer.hello().getName())
                            .with("body", frame.getBodyCase())
                            .warn(LOG);
            }
        }

        @Override
        public void onClosed(Peer peer) {
            enqueueOrClose(peer, () -> {
                reporter.onClosed(peer);
                dispatcher.onClosed(peer);
            });
        }

        /** Queues a task, or closes the connection if the queue is full, so that the router reconnects and attaches again. */
        private void enqueueOrClose(Peer peer, Runnable task) {
            if (!executor.offer(task)) {
                peer.close();
            }
        }
    }

    /** Handles frames that control members push. */
    private final class ControlFrameHandler implements FrameHandler {
        @Override
        public void onConnected(Peer peer) {
            controlPeers.add(peer);
        }

        @Override
        public void onClosed(Peer peer) {
            controlPeers.remove(peer);
        }

        @Override
        public void onFrame(Peer peer, Frame frame) {
            switch (frame.getBodyCase()) {
                case CONFIG_UPDATE, HEARTBEAT -> watch.onPush(frame);
                case FENCE_ROUTER -> executor.offer(() -> dispatcher.onFence(peer, frame));
                case LOAD_ORDER -> executor.offer(() -> loadOrderHandler.onOrder(peer, frame));
                default -> {
                    // Ignores late replies to calls that have ended.
                }
            }
        }
    }
}
