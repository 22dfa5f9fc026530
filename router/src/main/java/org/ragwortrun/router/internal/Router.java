package org.ragwortrun.router.internal;

import com.fasterxml.jackson.databind.ObjectMapper;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.apache.commons.rng.simple.ThreadLocalRandomSource;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.ragwortrun.core.concurrent.Closer;
import org.ragwortrun.core.concurrent.SingleThreadExecutor;
import org.ragwortrun.core.config.Configuration;
import org.ragwortrun.core.config.Endpoint;
import org.ragwortrun.core.error.RagwortrunException;
import org.ragwortrun.core.id.Incarnations;
import org.ragwortrun.core.log.Event;
import org.ragwortrun.core.metrics.Metrics;
import org.ragwortrun.core.time.Time;
import org.ragwortrun.ledger.GrantPool;
import org.ragwortrun.ledger.PoolSettings;
import org.ragwortrun.net.Address;
import org.ragwortrun.net.Transport;
import org.ragwortrun.net.control.ConfigWatch;
import org.ragwortrun.net.control.ControlClient;
import org.ragwortrun.proto.Hello;
import org.ragwortrun.proto.Role;
import org.ragwortrun.router.internal.agents.AgentPool;
import org.ragwortrun.router.internal.agents.HostListPoller;
import org.ragwortrun.router.internal.evidence.CrashReports;
import org.ragwortrun.router.internal.evidence.EvidenceCollector;
import org.ragwortrun.router.internal.evidence.PartQuarantine;
import org.ragwortrun.router.internal.flow.FlowServices;
import org.ragwortrun.router.internal.flow.RequestHandler;
import org.ragwortrun.router.internal.flow.SuspectRule;
import org.ragwortrun.router.internal.http.HttpServer;
import org.ragwortrun.router.internal.http.ProblemWriter;
import org.ragwortrun.router.internal.ledger.GrantClient;
import org.ragwortrun.router.internal.ledger.HeldReservations;
import org.ragwortrun.router.internal.ledger.Register;
import org.ragwortrun.router.internal.ledger.Sessions;
import org.ragwortrun.router.internal.ledger.SettlementQueue;
import org.ragwortrun.router.internal.ledger.Shards;
import org.ragwortrun.router.internal.request.AccountRule;
import org.ragwortrun.router.internal.request.Admission;
import org.ragwortrun.router.internal.request.ChatReader;
import org.ragwortrun.router.internal.request.IdempotencyKeyReader;
import org.ragwortrun.router.internal.request.RouteRule;
import org.ragwortrun.routing.BufferBudget;
import org.ragwortrun.routing.LoadAwareChooser;
import org.ragwortrun.routing.OutputForecast;
import org.ragwortrun.routing.RetryPolicy;
import org.ragwortrun.routing.VersionPicker;

/** Creates the components of a router from its settings and closes them in order. */
public final class Router implements AutoCloseable {
    private static final Logger LOG = LogManager.getLogger(Router.class);
    private static final Duration CONFIRM_INTERVAL = Duration.ofSeconds(1);
    private static final Duration SETTLE_TIMEOUT = Duration.ofSeconds(5);
    private static final long SECOND_MS = 1_000;
    // Time to write the answers of requests that a stop interrupts.
    private static final Duration ANSWER_TIMEOUT = Duration.ofMillis(500);
    private static final long STOP_POLL_MS = 20;
    private static final int NET_THREADS = 2;
    private static final int FLOW_THREADS = 2;

    private final RouterSettings settings;
    private final Time time;
    private final RequestHandler handler;
    private final ControlClient control;
    private final HttpServer http;
    private final Closer closer;

    private Router(
            RouterSettings settings,
            Time time,
            RequestHandler handler,
            ControlClient control,
            HttpServer http,
            Closer closer) {
        this.settings = settings;
        this.time = time;
        this.handler = handler;
        this.control = control;
        this.http = http;
        this.closer = closer;
    }

    /**
     * Starts a router. If this fails, components that were already started are closed.
     *
     * @throws RagwortrunException if an address cannot be bound
     */
    public static Router start(RouterSettings settings) throws RagwortrunException {
        Closer closer = new Closer();
        try {
            return start(settings, closer);
        } catch (RagwortrunException e) {
            closer.close();
            throw e;
        }
    }

    private static Router start(RouterSettings settings, Closer closer) throws RagwortrunException {
        Time time = Time.system();
        ObjectMapper json = new ObjectMapper();
        String incarnation = Incarnations.create(settings.name(), time.wallMillis());
        Metrics metrics = closer.register(Metrics.exporting(settings.metricsHost(), settings.metricsPort()));
        ScheduledExecutorService timer = SingleThreadExecutor.timer("router-timer");
        closer.register(() -> SingleThreadExecutor.stop(timer));
        ScheduledExecutorService slowTimer = SingleThreadExecutor.timer("router-host-list");
        closer.register(() -> SingleThreadExecutor.stop(slowTimer));
        Transport transport = closer.register(new Transport(hello(settings, incarnation), NET_THREADS));
        AgentPool agents = closer.register(new AgentPool(transport, time));
        ControlPushes pushes = new ControlPushes();
        ControlClient control = closer.register(new ControlClient(transport, settings.members(), pushes));
        ConfigWatch watch = closer.register(new ConfigWatch(control, timer, time, metrics, agents::apply));
        Shards shards = new Shards(control, settings.shards());
        Sessions sessions = new Sessions(shards, timer, settings.name(), incarnation);
        HeldReservations held = new HeldReservations(control, shards);
        SettlementQueue settlements = new SettlementQueue(shards, timer, incarnation, SETTLE_TIMEOUT, time, u -> {});
        // Closed after the settlements, because a session can be closed as orderly only when all bills are delivered.
        GrantClient grants = closer.register(new GrantClient(
                new GrantPool(incarnation, time, PoolSettings.defaults()),
                shards,
                sessions,
                timer,
                settings.grantTimeout(),
                () -> endpoints(watch),
                () -> settlements.pending() == 0,
                held));
        closer.register(settlements);
        BufferBudget buffers = new BufferBudget(settings.bufferMemory(), settings.accountBufferMemory());
        EvidenceCollector evidence = new EvidenceCollector(control);
        CrashReports crashReports = new CrashReports(control, timer, incarnation);
        PartQuarantine parts = new PartQuarantine(
                watch::quarantinedParts, crashReports::hasUnrecorded, crashReports::addAnswered, time);
        FlowServices services = new FlowServices(
                settings.flow(incarnation),
                watch::latest,
                grants,
                new Register(shards, settings.registerTimeout()),
                settlements,
                agents,
                new LoadAwareChooser(n -> random().nextInt(n), time, new OutputForecast()),
                new SuspectRule(watch::isRefused, parts),
                new VersionPicker(),
                new RetryPolicy(() -> random().nextDouble()),
                buffers,
                evidence,
                metrics,
                time,
                timer);
        RequestHandler handler = createHandler(settings, services, watch, sessions, json, closer);
        pushes.setReceivers(watch, grants);
        watch.start(CONFIRM_INTERVAL);
        sessions.open();
        SingleThreadExecutor.repeat(timer, evidence, SECOND_MS, SECOND_MS);
        SingleThreadExecutor.repeat(timer, held, SECOND_MS, SECOND_MS);
        SingleThreadExecutor.repeat(timer, agents::closeRetired, SECOND_MS, SECOND_MS);
        if (!settings.hostList().isEmpty()) {
            HostListPoller hosts = new HostListPoller(settings.hostList(), agents::markLeaving);
            SingleThreadExecutor.repeat(slowTimer, hosts, 0, SECOND_MS);
        }
        registerGauges(metrics, handler, buffers, settlements, grants);
        HttpServer http = closer.register(HttpServer.start(
                settings.httpAddress(), settings.http(), handler, new ProblemWriter(json), timer, time));
        Event.of("router-started")
                .with("name", settings.name())
                .with("incarnation", incarnation)
                .with("port", http.port())
                .info(LOG);
        return new Router(settings, time, handler, control, http, closer);
    }

    /** Replaces the control members of the settings. */
    public void configureMembers(Map<String, Address> members) {
        control.configure(members);
    }

    /** Returns the port for callers. */
    public int port() {
        return http.port();
    }

    /**
     * Stops gracefully: readiness probes of the balancer fail, new requests are refused, running ones finish or are
     * answered when the time is up, bills are delivered, grants are returned, and the sessions at the shards are closed.
     */
    @Override
    public void close() {
        handler.stop();
        Event.of("router-stopping").with("running", handler.active()).info(LOG);
        awaitIdle(settings.stopTimeout());
        int interrupted = handler.active();
        handler.interruptAll();
        awaitIdle(ANSWER_TIMEOUT);
        closer.close();
        Event.of("router-stopped").with("cut-off", interrupted).info(LOG);
    }

    private void awaitIdle(Duration timeout) {
        long end = time.nanos() + timeout.toNanos();
        try {
            while (handler.active() > 0 && end - time.nanos() > 0) {
                TimeUnit.MILLISECONDS.sleep(STOP_POLL_MS);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private static RequestHandler createHandler(
            RouterSettings settings,
            FlowServices services,
            ConfigWatch watch,
            Sessions sessions,
            ObjectMapper json,
            Closer closer) {
        // A mailbox has at most one task in the queue, plus one that yields to others.
        int queueCapacity = 2 * settings.maxRequests() + 1;
        List<SingleThreadExecutor> threads = IntStream.range(0, FLOW_THREADS)
                .mapToObj(i -> closer.register(new SingleThreadExecutor("flow-" + i, queueCapacity)))
                .toList();
        Admission admission = new Admission(
                new AccountRule(), new RouteRule(new ChatReader(json)), new IdempotencyKeyReader(services.time()));
        return new RequestHandler(
                services, watch, admission, threads, settings.maxRequests(), () -> !sessions.isFenced());
    }

    private static void registerGauges(
            Metrics metrics,
            RequestHandler handler,
            BufferBudget buffers,
            SettlementQueue settlements,
            GrantClient grants) {
        metrics.gauge("running_requests", "Requests that have not ended", handler::active);
        metrics.gauge("buffered_bytes", "Bytes that answers may hold for their readers", buffers::used);
        metrics.gauge("pending_settlements", "Bills that no shard has acknowledged", settlements::pending);
        metrics.gauge("held_reservations", "Reservations whose bill is not known", grants::heldReservations);
    }

    private static List<String> endpoints(ConfigWatch watch) {
        return watch.latest().map(Configuration::endpoints).stream()
                .flatMap(e -> e.stream().map(Endpoint::name))
                .toList();
    }

    private static Hello hello(RouterSettings settings, String incarnation) {
        return Hello.newBuilder()
                .setName(settings.name())
                .setIncarnation(incarnation)
                .setRole(Role.ROUTER)
                .setDataCenter(settings.dataCenter())
                .build();
    }

    private static UniformRandomProvider random() {
        return ThreadLocalRandomSource.current(RandomSource.XO_RO_SHI_RO_128_PP);
    }
}
