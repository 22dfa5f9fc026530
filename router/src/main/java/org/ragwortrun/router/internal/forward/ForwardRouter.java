package org.ragwortrun.router.internal.forward;

import com.fasterxml.jackson.databind.ObjectMapper;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.AdaptiveRecvByteBufAllocator;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.SingleThreadEventLoop;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.HttpResponseEncoder;
import io.netty.util.concurrent.DefaultThreadFactory;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.IntSupplier;
import java.util.function.Supplier;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.ragwortrun.core.concurrent.Closer;
import org.ragwortrun.core.concurrent.SingleThreadExecutor;
import org.ragwortrun.core.concurrent.StandstillMonitor;
import org.ragwortrun.core.error.RagwortrunException;
import org.ragwortrun.core.id.Incarnations;
import org.ragwortrun.core.log.Event;
import org.ragwortrun.core.metrics.Metrics;
import org.ragwortrun.core.time.Time;
import org.ragwortrun.ledger.GrantPool;
import org.ragwortrun.ledger.PoolSettings;
import org.ragwortrun.net.Address;
import org.ragwortrun.net.AddressException;
import org.ragwortrun.net.Transport;
import org.ragwortrun.net.TransportException;
import org.ragwortrun.net.control.ConfigWatch;
import org.ragwortrun.net.control.ControlClient;
import org.ragwortrun.net.control.EndpointSource;
import org.ragwortrun.net.control.EndpointSourceException;
import org.ragwortrun.net.control.MemberRecovery;
import org.ragwortrun.net.control.MemberSource;
import org.ragwortrun.proto.Hello;
import org.ragwortrun.proto.ListedEndpoint;
import org.ragwortrun.proto.Role;
import org.ragwortrun.router.internal.evidence.CrashReports;
import org.ragwortrun.router.internal.evidence.EvidenceCollector;
import org.ragwortrun.router.internal.evidence.PartQuarantine;
import org.ragwortrun.router.internal.host.HostGuard;
import org.ragwortrun.router.internal.host.MeasuredHost;
import org.ragwortrun.router.internal.host.ProcessorTime;
import org.ragwortrun.router.internal.host.TrafficMeter;
import org.ragwortrun.router.internal.host.WithdrawalClient;
import org.ragwortrun.router.internal.host.WithdrawalServer;
import org.ragwortrun.router.internal.http.ProblemWriter;
import org.ragwortrun.router.internal.ledger.GrantClient;
import org.ragwortrun.router.internal.ledger.HeldReservations;
import org.ragwortrun.router.internal.ledger.Sessions;
import org.ragwortrun.router.internal.ledger.SettlementQueue;
import org.ragwortrun.router.internal.ledger.Shards;
import org.ragwortrun.router.internal.limits.LimitReportHandler;
import org.ragwortrun.router.internal.limits.PermitClient;
import org.ragwortrun.router.internal.limits.PermitServer;
import org.ragwortrun.router.internal.pool.HomeServer;
import org.ragwortrun.router.internal.pool.LocalTokens;
import org.ragwortrun.router.internal.pool.MembersServer;
import org.ragwortrun.router.internal.pool.PeerFrames;
import org.ragwortrun.router.internal.pool.PeerLinks;
import org.ragwortrun.router.internal.pool.PeerMembers;
import org.ragwortrun.router.internal.pool.PooledTokens;
import org.ragwortrun.router.internal.pool.TokenSource;

/** Starts the components of a router that forwards to origins, and closes them in order. */
public final class ForwardRouter implements AutoCloseable {
    private static final Logger LOG = LogManager.getLogger(ForwardRouter.class);
    private static final Duration SETTLE_TIMEOUT = Duration.ofMillis(500);
    private static final long REFUSE_ALL_NANOS = 200_000_000L;
    private static final long SECOND_MS = 1_000;
    private static final long STOP_POLL_MS = 20;
    // Short, so that a restarted router can serve before the next leader is elected.
    private static final long FIRST_READ_MS = 50;
    private static final int BACKLOG = 512;
    // Part of the heap that requests and answers may occupy; buffers grow by copying, and the rest of the router needs
    // heap.
    private static final int MEMORY_HEAP_SHARE = 3;
    // Two intervals at which the leader sends the list to all routers, plus a margin.
    private static final long LEADER_SILENCE_NANOS = 2_500_000_000L;

    private final ForwardSettings settings;
    private final Time time;
    private final RequestAdmission admission;
    private final ControlClient control;
    private final HomeServer home;
    private final EventLoop loop;
    private final Closer listeners;
    private final Closer closer;

    private ForwardRouter(
            ForwardSettings settings,
            Time time,
            RequestAdmission admission,
            ControlClient control,
            HomeServer home,
            EventLoop loop,
            Closer listeners,
            Closer closer) {
        this.settings = settings;
        this.time = time;
        this.admission = admission;
        this.control = control;
        this.home = home;
        this.loop = loop;
        this.listeners = listeners;
        this.closer = closer;
    }

    /**
     * Starts a router. Closes the components that were already started if one fails.
     *
     * @param names headers that callers and endpoints use
     * @param source source of the endpoint list, which this router reads only while no control member sends the list
     * @param processStartNanos monotonic time at which this process started
     * @throws RagwortrunException if an address cannot be bound
     */
    public static ForwardRouter start(
            ForwardSettings settings, HeaderNames names, EndpointSource source, long processStartNanos)
            throws RagwortrunException {
        Closer closer = new Closer();
        try {
            return start(settings, names, source, processStartNanos, closer);
        } catch (RagwortrunException e) {
            closer.close();
            throw e;
        }
    }

    private static ForwardRouter start(
            ForwardSettings settings, HeaderNames names, EndpointSource source, long processStartNanos, Closer closer)
            throws RagwortrunException {
        Time time = Time.system();
        String incarnation = Incarnations.create(settings.name(), time.wallMillis());
        Metrics metrics = closer.register(Metrics.exporting(settings.metricsHost(), settings.metricsPort()));
        ScheduledExecutorService timer = SingleThreadExecutor.timer("router-timer");
        closer.register(() -> SingleThreadExecutor.stop(timer));
        StandstillMonitor standstills = new StandstillMonitor(time, metrics);
        standstills.start(timer);
        EventLoopGroup group = eventLoopGroup(closer);
        SingleThreadEventLoop loop = (SingleThreadEventLoop) group.next();
        Transport transport = closer.register(new Transport(hello(settings, incarnation), 1));
        RequestHeaders headers = new RequestHeaders(names);
        UniformRandomProvider random = RandomSource.XO_RO_SHI_RO_128_PP.create();
        NoticeReader notices = new NoticeReader(headers, metrics, time, random::nextDouble);
        TrafficMeter traffic = new TrafficMeter(settings.scheduling().watchesHost());
        EndpointTable endpoints = new EndpointTable(
                time,
                e -> connections(loop, e, time, headers, metrics, traffic),
                notices::read,
                settings.longestPause(),
                settings.scheduling().ramps());
        ForwardPushHandler pushes = pushHandler(loop, endpoints, time, metrics);
        ControlClient control = closer.register(new ControlClient(transport, settings.members(), pushes));
        ConfigWatch watch =
                closer.register(new ConfigWatch(control, timer, time, metrics, pushes::onConfigurationApplied));
        Shards shards = new Shards(control, settings.shards());
        Sessions sessions = new Sessions(shards, timer, settings.name(), incarnation, true, processStartNanos);
        GrantPool pool = new GrantPool(
                incarnation,
                time,
                PoolSettings.partitionTolerant(settings.hold().toMillis()));
        SettlementQueue settlements = new SettlementQueue(
                shards,
                timer,
                incarnation,
                SETTLE_TIMEOUT,
                time,
                u -> pool.acknowledgeBill(u.getBudget(), u.getTokens()));
        GrantClient grants = closer.register(new GrantClient(
                pool,
                shards,
                sessions,
                timer,
                settings.grantTimeout(),
                List::of,
                () -> settlements.pending() == 0,
                new HeldReservations(control, shards)));
        closer.register(settlements);
        LocalTokens local = new LocalTokens(grants, settlements::add, incarnation);
        HomeServer home = new HomeServer(local, time);
        TokenSource tokens = local;
        PerformanceTable performance =
                new PerformanceTable(settings.scheduling().learnedPlacement(), endpoints);
        Limits limits = limits(settings, headers, endpoints, transport, loop, metrics, time, random, closer);
        PeerLinks links = limits.links();
        if (settings.peers().isPresent()) {
            pushes.setPeerLinks(links);
            grants.useHomesIf(links::hasHomes);
            tokens = new PooledTokens(settings.name(), incarnation, local, links, timer, time);
            SingleThreadExecutor.repeat(timer, home, SECOND_MS, SECOND_MS);
            SingleThreadExecutor.repeat(timer, limits.withdrawals(), SECOND_MS, SECOND_MS);
        }
        EvidenceCollector evidence = new EvidenceCollector(control);
        ContentQuarantine quarantine = new ContentQuarantine(watch::crashTimes, time);
        CrashReports crashReports = new CrashReports(control, timer, incarnation);
        PartQuarantine partQuarantine = new PartQuarantine(
                watch::quarantinedParts, crashReports::hasUnrecorded, crashReports::addAnswered, time);
        CrashDetector crashDetector =
                new CrashDetector(quarantine, partQuarantine, crashReports::add, evidence, metrics, time, loop);
        ForwardServices services = new ForwardServices(
                settings.dataCenter(),
                ConfigurationSource.of(watch, control, settings.denialAge()),
                standstills,
                endpoints,
                placement(settings, endpoints, performance, random),
                performance,
                List.of(new EvacuationFilter(), new HomeRegionFilter(settings.scheduling()::region)),
                limits.reader(),
                limits.permits(),
                new RequestScheduler(settings.scheduling().queue(), endpoints, metrics, time, loop, random::nextDouble),
                new RetryAllowance(
                        settings.retryRatio(),
                        () -> settings.retrySlack(endpoints.routers()),
                        settings.retryWindow().toNanos()),
                tokens,
                evidence,
                quarantine,
                partQuarantine,
                crashDetector,
                headers,
                metrics,
                time,
                loop,
                new AfterReadExecutor(loop),
                random::nextDouble);
        connectPeers(settings, home, limits, services, control, transport, closer);
        recoverMembers(settings, control, links, timer, metrics, time);
        RequestAdmission admission = new RequestAdmission(
                services,
                Runtime.getRuntime().maxMemory() / MEMORY_HEAP_SHARE,
                guard(settings, traffic, limits, services));
        pushes.connect(watch, grants);
        pushes.setConfigurationListener(admission::recheckQuarantine);
        watch.setConfirmationListener(() -> loop.execute(admission::onConfirmed));
        watch.start(settings.confirmInterval());
        sessions.open();
        SingleThreadExecutor.repeat(timer, evidence, SECOND_MS, SECOND_MS);
        closeIdleConnections(loop, admission, endpoints);
        readOwnList(source, endpoints, loop, closer);
        addGauges(metrics, admission, home, settlements);
        Closer listeners = listen(settings, group, traffic, admission, time, closer);
        Event.of("router-started")
                .with("name", settings.name())
                .with("incarnation", incarnation)
                .with("callers", settings.callers())
                .with("control", settings.members().values())
                .info(LOG);
        return new ForwardRouter(settings, time, admission, control, home, loop, listeners, closer);
    }

    private static EventLoopGroup eventLoopGroup(Closer closer) {
        EventLoopGroup group = new MultiThreadIoEventLoopGroup(
                1, new DefaultThreadFactory("forward", true), NioIoHandler.newFactory());
        closer.register(() ->
                group.shutdownGracefully(0, SECOND_MS, TimeUnit.MILLISECONDS).awaitUninterruptibly(SECOND_MS));
        return group;
    }

    private static ForwardPushHandler pushHandler(EventLoop loop, EndpointTable endpoints, Time time, Metrics metrics) {
        EvacuationTracker evacuations = new EvacuationTracker(time, metrics);
        endpoints.setEvacuationEnds(evacuations::endedNanos);
        return new ForwardPushHandler(loop, endpoints, evacuations);
    }

    /** Listens for callers and for the readiness check. Returns a closer of what listens for callers. */
    private static Closer listen(
            ForwardSettings settings,
            EventLoopGroup group,
            TrafficMeter traffic,
            RequestAdmission admission,
            Time time,
            Closer closer)
            throws TransportException {
        ProblemWriter problems = new ProblemWriter(new ObjectMapper());
        Closer listeners = closer.register(new Closer());
        listen(
                listeners,
                group,
                settings.callers(),
                traffic,
                () -> admission.limits().headerBytes(),
                () -> new CallerConnection(admission, admission::limits, problems, time));
        listen(
                closer,
                group,
                settings.readiness(),
                traffic,
                () -> admission.limits().headerBytes(),
                () -> new ReadinessHandler(admission::isReady));
        return listeners;
    }

    private static HostGuard guard(
            ForwardSettings settings, TrafficMeter traffic, Limits limits, ForwardServices services) {
        if (!settings.scheduling().watchesHost()) {
            return HostGuard.NONE;
        }
        MeasuredHost host = new MeasuredHost(
                settings.scheduling().capacity(),
                traffic,
                ProcessorTime.ofProcess(),
                new WithdrawalClient(
                        settings.name(),
                        settings.dataCenter(),
                        limits.links(),
                        limits.withdrawals(),
                        services.endpoints()::routers),
                services.loop(),
                services.metrics(),
                services.time());
        host.addGauges();
        SingleThreadExecutor.repeat(services.loop(), host, MeasuredHost.INTERVAL_MS, MeasuredHost.INTERVAL_MS);
        return host;
    }

    /** Publishes what is learned about endpoints to metrics and to other routers, and listens to the latter. */
    private static void connectPeers(
            ForwardSettings settings,
            HomeServer home,
            Limits limits,
            ForwardServices services,
            ControlClient control,
            Transport transport,
            Closer closer)
            throws TransportException {
        EventLoop loop = services.loop();
        PerformanceTable performance = services.performance();
        if (performance.isEnabled()) {
            performance.addGauges(services.metrics());
            SingleThreadExecutor.repeat(
                    loop, () -> performance.updateGauges(services.time().nanos()), SECOND_MS, SECOND_MS);
        }
        if (settings.peers().isEmpty()) {
            return;
        }
        PerformanceSharing sharing = new PerformanceSharing(
                settings.name(),
                settings.dataCenter(),
                limits.links(),
                new PerformanceMessages(services.endpoints(), performance),
                services.endpoints(),
                loop,
                services.metrics(),
                services.time());
        closer.register(transport.listen(
                settings.peers().get(),
                new PeerFrames(
                        home,
                        limits.server(),
                        limits.withdrawals(),
                        sharing,
                        new RouteExplainer(services, loop),
                        new MembersServer(control::members))));
        if (performance.isEnabled()) {
            SingleThreadExecutor.repeat(loop, sharing::report, PerformanceSharing.TICK_MS, PerformanceSharing.TICK_MS);
        }
    }

    private static void recoverMembers(
            ForwardSettings settings,
            ControlClient control,
            PeerLinks links,
            ScheduledExecutorService timer,
            Metrics metrics,
            Time time) {
        List<MemberSource> sources = settings.peers().isPresent() ? List.of(new PeerMembers(links)) : List.of();
        new MemberRecovery(control, sources, metrics, time).start(timer);
    }

    private static void closeIdleConnections(EventLoop loop, RequestAdmission admission, EndpointTable endpoints) {
        SingleThreadExecutor.repeat(loop, admission::closeIdle, SECOND_MS, SECOND_MS);
        SingleThreadExecutor.repeat(loop, endpoints::closeExpired, SECOND_MS, SECOND_MS);
    }

    private static EndpointPlacement placement(
            ForwardSettings settings,
            EndpointTable endpoints,
            PerformanceTable performance,
            UniformRandomProvider random) {
        return settings.scheduling().learnedPlacement()
                ? new LearnedRatePlacement(
                        settings.dataCenter(), endpoints, performance, new LearnedPlacement(random::nextDouble))
                : new FixedRatePlacement(settings.dataCenter());
    }

    private static void addGauges(
            Metrics metrics, RequestAdmission admission, HomeServer home, SettlementQueue settlements) {
        metrics.gauge("running_requests", "Requests that have not ended", admission::active);
        metrics.gauge("held_bytes", "Bytes of requests and answers in memory", admission.memory()::heldBytes);
        metrics.gauge("peer_reservations", "Reservations of other routers that have not ended", home::open);
        metrics.gauge("pending_settlements", "Bills that no shard has acknowledged", settlements::pending);
    }

    /**
     * Components that keep requests within the limits of endpoints and of data centers.
     *
     * @param withdrawals decides which routers of the data center may leave the rotation
     * @param links connections to the routers that coordinate limits
     */
    private record Limits(
            LimitReader reader,
            PermitClient permits,
            PermitServer server,
            WithdrawalServer withdrawals,
            PeerLinks links) {}

    private static Limits limits(
            ForwardSettings settings,
            RequestHeaders headers,
            EndpointTable endpoints,
            Transport transport,
            EventLoop loop,
            Metrics metrics,
            Time time,
            UniformRandomProvider random,
            Closer closer) {
        String name = settings.name();
        LimitReader reader = new LimitReader(headers, endpoints, metrics, time);
        PeerLinks links = closer.register(new PeerLinks(
                name, transport, new LimitReportHandler(reader::onReported, endpoints::onRampReported, loop, time)));
        PermitServer server = new PermitServer(name, links, metrics, time);
        PermitClient permits = new PermitClient(
                name, links, server, reader::onReported, endpoints::routers, loop, metrics, time, random::nextDouble);
        endpoints.setRampReporter(permits::report);
        SingleThreadExecutor.repeat(loop, server, SECOND_MS, SECOND_MS);
        metrics.gauge("ramps", "Ramps that this router coordinates", server::rampsInForce);
        return new Limits(
                reader, permits, server, new WithdrawalServer(name, settings.dataCenter(), links, time), links);
    }

    private static void readOwnList(EndpointSource source, EndpointTable endpoints, EventLoop loop, Closer closer) {
        ScheduledExecutorService reader = SingleThreadExecutor.timer("router-endpoints");
        closer.register(() -> SingleThreadExecutor.stop(reader));
        SingleThreadExecutor.repeat(
                reader,
                () -> {
                    if (endpoints.hasList() && endpoints.nanosSinceLeaderList() < LEADER_SILENCE_NANOS) {
                        return;
                    }
                    try {
                        List<ListedEndpoint> list = source.read();
                        loop.execute(() -> endpoints.applyOwnList(list));
                    } catch (EndpointSourceException e) {
                        Event.of("endpoint-list-lost").warn(LOG, e);
                    }
                },
                FIRST_READ_MS,
                SECOND_MS);
    }

    private static EndpointConnectionPool connections(
            EventLoop loop,
            ListedEndpoint endpoint,
            Time time,
            RequestHeaders headers,
            Metrics metrics,
            TrafficMeter traffic) {
        ConnectionEvents events = new ConnectionEvents(metrics);
        try {
            return new EndpointConnectionPool(
                    loop, Address.parse(endpoint.getAddress()), time, headers, events, traffic);
        } catch (AddressException e) {
            // The source omits entries without an address, so this entry names no endpoint that could answer.
            Event.of("endpoint-address-unreadable")
                    .with("endpoint", endpoint.getId())
                    .warn(LOG, e);
            return new EndpointConnectionPool(loop, new Address("127.0.0.1", 0), time, headers, events, traffic);
        }
    }

    private static void listen(
            Closer closer,
            EventLoopGroup group,
            Address address,
            TrafficMeter traffic,
            IntSupplier headerBytes,
            Supplier<ChannelHandler> handler)
            throws TransportException {
        var bound = new ServerBootstrap()
                .group(group)
                .channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_BACKLOG, BACKLOG)
                .option(ChannelOption.SO_REUSEADDR, true)
                .childOption(ChannelOption.TCP_NODELAY, true)
                // Reads all data that has arrived, so that a close that follows a request is seen together with it.
                .childOption(
                        ChannelOption.RCVBUF_ALLOCATOR, new AdaptiveRecvByteBufAllocator().respectMaybeMoreData(false))
                .childHandler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel ch) {
                        traffic.watch(ch.pipeline());
                        ch.pipeline()
                                .addLast(new StrictRequestDecoder(headerBytes), new HttpResponseEncoder())
                                .addLast(handler.get());
                    }
                })
                .bind(address.host(), address.port())
                .awaitUninterruptibly();
        if (!bound.isSuccess()) {
            throw new TransportException(
                    TransportException.Kind.NOT_SENT, "cannot listen on " + address, bound.cause());
        }
        closer.register(() -> bound.channel().close().awaitUninterruptibly());
    }

    /** Replaces the control members of the settings. */
    public void configureMembers(Map<String, Address> members) {
        control.configure(members);
    }

    /**
     * Stops in order: the readiness check fails, new connections are served until the load balancer stops sending them,
     * running requests finish, bills are delivered, and grants are returned.
     */
    @Override
    public void close() {
        admission.stop();
        home.stop();
        Event.of("router-stopping").with("running", admission.active()).info(LOG);
        long begin = time.nanos();
        try {
            // A load balancer stops using this host only after some failed checks, and its connections until then must
            // be served.
            sleepUntil(begin + settings.stopLinger().toNanos(), false);
            long end = begin + settings.stopTimeout().toNanos();
            loop.execute(() -> admission.limitAdmission(end));
            sleepUntil(end - REFUSE_ALL_NANOS, true);
            // Refuses all new requests, so that none is accepted between the last check for running requests and the
            // stop.
            loop.submit(() -> admission.limitAdmission(time.nanos())).awaitUninterruptibly(SECOND_MS);
            sleepUntil(end, true);
            listeners.close();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        int left = admission.active();
        // Aborted requests are billed for what has run, so that the session can be closed properly and no token is
        // lost.
        loop.submit(admission::abortAll).awaitUninterruptibly(SECOND_MS);
        closer.close();
        Event.of("router-stopped").with("cut-off", left).info(LOG);
    }

    private void sleepUntil(long end, boolean untilIdle) throws InterruptedException {
        while (end - time.nanos() > 0 && !(untilIdle && admission.active() == 0)) {
            TimeUnit.MILLISECONDS.sleep(STOP_POLL_MS);
        }
    }

    private static Hello hello(ForwardSettings settings, String incarnation) {
        return Hello.newBuilder()
                .setName(settings.name())
                .setIncarnation(incarnation)
                .setRole(Role.ROUTER)
                .setDataCenter(settings.dataCenter())
                .setAddress(settings.peers().map(Address::toString).orElse(""))
                .build();
    }
}
