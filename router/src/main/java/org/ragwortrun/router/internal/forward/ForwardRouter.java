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
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.ragwortrun.core.concurrent.Closer;
import org.ragwortrun.core.concurrent.Duty;
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
import org.ragwortrun.proto.Hello;
import org.ragwortrun.proto.ListedEndpoint;
import org.ragwortrun.proto.Role;
import org.ragwortrun.router.internal.evidence.CrashReports;
import org.ragwortrun.router.internal.evidence.EvidenceCollector;
import org.ragwortrun.router.internal.http.ProblemWriter;
import org.ragwortrun.router.internal.ledger.GrantClient;
import org.ragwortrun.router.internal.ledger.HeldReservations;
import org.ragwortrun.router.internal.ledger.Sessions;
import org.ragwortrun.router.internal.ledger.SettlementQueue;
import org.ragwortrun.router.internal.ledger.Shards;
import org.ragwortrun.router.internal.pool.HomeServer;
import org.ragwortrun.router.internal.pool.LocalTokens;
import org.ragwortrun.router.internal.pool.PeerLinks;
import org.ragwortrun.router.internal.pool.PooledTokens;
import org.ragwortrun.router.internal.pool.TokenSource;

/** Builds the parts of a router that forwards to origins, and ends them in order. */
public final class ForwardRouter implements AutoCloseable {
    private static final Logger LOG = LogManager.getLogger(ForwardRouter.class);
    private static final Duration CONFIRM_INTERVAL = Duration.ofSeconds(1);
    private static final Duration SETTLE_TIMEOUT = Duration.ofMillis(500);
    private static final long LAST_NANOS = 200_000_000L;
    private static final long SECOND_MS = 1_000;
    private static final long STOP_POLL_MS = 20;
    // A restarted router serves before the next leader is elected.
    private static final long FIRST_READ_MS = 50;
    private static final int BACKLOG = 512;
    // Two beats of the leader that reads the list for all, and some slack.
    private static final long SILENCE_NANOS = 2_500_000_000L;

    private final ForwardSettings settings;
    private final Time time;
    private final ForwardFront front;
    private final HomeServer home;
    private final EventLoop loop;
    private final Closer listeners;
    private final Closer closer;

    private ForwardRouter(
            ForwardSettings settings,
            Time time,
            ForwardFront front,
            HomeServer home,
            EventLoop loop,
            Closer listeners,
            Closer closer) {
        this.settings = settings;
        this.time = time;
        this.front = front;
        this.home = home;
        this.loop = loop;
        this.listeners = listeners;
        this.closer = closer;
    }

    /**
     * Starts a router. What was started before a failure is ended again.
     *
     * @param names headers by which callers and endpoints are spoken to
     * @param source list of endpoints, read by this router only while no control member sends it
     * @param beganNanos monotonic time at which this process began
     * @throws RagwortrunException if an address cannot be bound
     */
    public static ForwardRouter start(
            ForwardSettings settings, HeaderNames names, EndpointSource source, long beganNanos)
            throws RagwortrunException {
        Closer closer = new Closer();
        try {
            return start(settings, names, source, beganNanos, closer);
        } catch (RagwortrunException e) {
            closer.close();
            throw e;
        }
    }

    private static ForwardRouter start(
            ForwardSettings settings, HeaderNames names, EndpointSource source, long beganNanos, Closer closer)
            throws RagwortrunException {
        Time time = Time.system();
        String incarnation = Incarnations.create(settings.name(), time.wallMillis());
        Metrics metrics = closer.register(Metrics.exporting(settings.metricsHost(), settings.metricsPort()));
        ScheduledExecutorService timer = Duty.timer("router-timer");
        closer.register(() -> Duty.stop(timer));
        EventLoopGroup group = new MultiThreadIoEventLoopGroup(
                1, new DefaultThreadFactory("forward", true), NioIoHandler.newFactory());
        closer.register(() ->
                group.shutdownGracefully(0, SECOND_MS, TimeUnit.MILLISECONDS).awaitUninterruptibly(SECOND_MS));
        SingleThreadEventLoop loop = (SingleThreadEventLoop) group.next();
        Transport transport = closer.register(new Transport(hello(settings, incarnation), 1));
        RequestHeads heads = new RequestHeads(names);
        UniformRandomProvider random = RandomSource.XO_RO_SHI_RO_128_PP.create();
        NoticeReader notices = new NoticeReader(heads, metrics, time, random::nextDouble);
        EndpointTable endpoints =
                new EndpointTable(time, e -> connections(loop, e, time, heads), notices::read, settings.longestPause());
        Pushes pushes = new Pushes(loop, endpoints);
        ControlClient control = closer.register(new ControlClient(transport, settings.members(), pushes));
        ConfigWatch watch = closer.register(new ConfigWatch(control, timer, time, c -> {}));
        Shards shards = new Shards(control, settings.shards());
        Sessions sessions = new Sessions(shards, timer, settings.name(), incarnation, true, beganNanos);
        GrantPool pool = new GrantPool(
                incarnation, time, PoolSettings.outlasting(settings.hold().toMillis()));
        SettlementQueue settlements = new SettlementQueue(
                shards, timer, incarnation, SETTLE_TIMEOUT, time, u -> pool.billed(u.getBudget(), u.getTokens()));
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
        if (settings.peers().isPresent()) {
            PeerLinks links = closer.register(new PeerLinks(transport));
            pushes.peers(links);
            grants.reservesForOthers(links::hasHomes);
            tokens = new PooledTokens(settings.name(), incarnation, local, links, timer, time);
            closer.register(transport.listen(settings.peers().get(), home));
            Duty.repeat(timer, home, SECOND_MS, SECOND_MS);
        }
        EvidenceCollector evidence = new EvidenceCollector(control);
        CrashSuspects suspects = new CrashSuspects(watch::crashTimes, time);
        CrashDetector crashes = new CrashDetector(
                suspects, new CrashReports(control, timer, incarnation)::add, evidence, metrics, time, loop);
        ForwardServices services = new ForwardServices(
                settings.dataCenter(),
                watch::latest,
                endpoints,
                new RetryAllowance(
                        settings.retryRatio(),
                        () -> settings.retrySlack(endpoints.routers()),
                        settings.retryWindow().toNanos()),
                tokens,
                evidence,
                suspects,
                crashes,
                heads,
                metrics,
                time,
                loop,
                new AfterReads(loop),
                random::nextDouble);
        ForwardFront front = new ForwardFront(services);
        pushes.connect(watch, grants);
        watch.start(CONFIRM_INTERVAL);
        sessions.open();
        Duty.repeat(timer, evidence, SECOND_MS, SECOND_MS);
        Duty.repeat(loop, front::closeIdle, SECOND_MS, SECOND_MS);
        Duty.repeat(loop, endpoints::closeExpired, SECOND_MS, SECOND_MS);
        readOwnList(source, endpoints, loop, closer);
        metrics.gauge("running_requests", "Requests that have not ended", front::active);
        metrics.gauge("peer_reservations", "Reservations of other routers that have not ended", home::open);
        metrics.gauge("pending_settlements", "Bills that no shard has acknowledged", settlements::pending);
        ProblemWriter problems = new ProblemWriter(new ObjectMapper());
        Closer listeners = closer.register(new Closer());
        listen(
                listeners,
                group,
                settings.callers(),
                front.limits().headerBytes(),
                () -> new CallerConnection(front, front::limits, problems, time));
        listen(closer, group, settings.readiness(), front.limits().headerBytes(), () -> new Readiness(front::isReady));
        Event.of("router-started")
                .with("name", settings.name())
                .with("incarnation", incarnation)
                .with("callers", settings.callers())
                .with("control", settings.members().values())
                .info(LOG);
        return new ForwardRouter(settings, time, front, home, loop, listeners, closer);
    }

    private static void readOwnList(EndpointSource source, EndpointTable endpoints, EventLoop loop, Closer closer) {
        ScheduledExecutorService reader = Duty.timer("router-endpoints");
        closer.register(() -> Duty.stop(reader));
        Duty.repeat(
                reader,
                () -> {
                    if (endpoints.isKnown() && endpoints.silenceNanos() < SILENCE_NANOS) {
                        return;
                    }
                    try {
                        List<ListedEndpoint> list = source.read();
                        loop.execute(() -> endpoints.applyOwn(list));
                    } catch (EndpointSourceException e) {
                        Event.of("endpoint-list-lost").warn(LOG, e);
                    }
                },
                FIRST_READ_MS,
                SECOND_MS);
    }

    private static EndpointConnections connections(
            EventLoop loop, ListedEndpoint endpoint, Time time, RequestHeads heads) {
        try {
            return new EndpointConnections(loop, Address.parse(endpoint.getAddress()), time, heads);
        } catch (AddressException e) {
            // The source leaves out entries without an address, so this names no endpoint that could answer.
            Event.of("endpoint-address-unreadable")
                    .with("endpoint", endpoint.getId())
                    .warn(LOG, e);
            return new EndpointConnections(loop, new Address("127.0.0.1", 0), time, heads);
        }
    }

    private static void listen(
            Closer closer, EventLoopGroup group, Address address, int headerBytes, Supplier<ChannelHandler> handler)
            throws TransportException {
        var bound = new ServerBootstrap()
                .group(group)
                .channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_BACKLOG, BACKLOG)
                .option(ChannelOption.SO_REUSEADDR, true)
                .childOption(ChannelOption.TCP_NODELAY, true)
                // Reads to the end of what has arrived, so that a close behind a request is seen with it.
                .childOption(
                        ChannelOption.RCVBUF_ALLOCATOR, new AdaptiveRecvByteBufAllocator().respectMaybeMoreData(false))
                .childHandler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel ch) {
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

    /**
     * Stops in order: the balancer is told, new connections are served until it has turned away, running requests
     * finish, bills are delivered and grants are returned.
     */
    @Override
    public void close() {
        front.stop();
        home.stop();
        Event.of("router-stopping").with("running", front.active()).info(LOG);
        long begin = time.nanos();
        try {
            // A balancer needs some checks to turn away, and connections that it still opens must be served.
            sleepUntil(begin + settings.stopLinger().toNanos(), false);
            long end = begin + settings.stopTimeout().toNanos();
            loop.execute(() -> front.limitAdmission(end));
            sleepUntil(end - LAST_NANOS, true);
            // What arrives from now on is refused, so that nothing is taken between the last look and the end.
            loop.submit(() -> front.limitAdmission(time.nanos())).awaitUninterruptibly(SECOND_MS);
            sleepUntil(end, true);
            listeners.close();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        int left = front.active();
        // Cutting off bills what has run, so that the session can end in order and no token is lost.
        loop.submit(front::cutOff).awaitUninterruptibly(SECOND_MS);
        closer.close();
        Event.of("router-stopped").with("cut-off", left).info(LOG);
    }

    private void sleepUntil(long end, boolean untilIdle) throws InterruptedException {
        while (end - time.nanos() > 0 && !(untilIdle && front.active() == 0)) {
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
