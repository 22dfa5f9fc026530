package org.ragwortrun.router.internal.forward;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.HttpRequest;
import java.time.Duration;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.Executor;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.jspecify.annotations.Nullable;
import org.ragwortrun.core.config.Account;
import org.ragwortrun.core.config.Budget;
import org.ragwortrun.core.config.CallerLimits;
import org.ragwortrun.core.config.Configuration;
import org.ragwortrun.core.config.Forward;
import org.ragwortrun.core.config.Origin;
import org.ragwortrun.core.id.Digests;
import org.ragwortrun.core.log.Event;
import org.ragwortrun.core.refusal.Refusal;
import org.ragwortrun.core.refusal.RefusalReason;
import org.ragwortrun.core.refusal.RefusedException;

/** Admits requests: finds their route, client account and origin, and starts an exchange. Used on the event loop. */
final class ForwardFront {
    private static final Logger LOG = LogManager.getLogger(ForwardFront.class);
    private static final Duration RETRY_AFTER = Duration.ofMillis(500);
    // The connection is closed with the refusal, so that the caller comes back to another host.
    private static final Duration RETRY_ELSEWHERE = Duration.ofMillis(50);
    private static final int MOST_DIGESTS = 4_096;

    private final ForwardServices services;
    private final OriginPicker picker;
    private final FlushLater flushes;
    private final Set<CallerConnection> connections = new HashSet<>();
    private final Map<String, String> digests = new LinkedHashMap<>() {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<String, String> eldest) {
            return size() > MOST_DIGESTS;
        }
    };
    private final StopAdmission stops = new StopAdmission();
    private final long beganNanos;
    private volatile boolean stopping;
    private boolean limited;
    private long endNanos;
    private volatile int active;

    ForwardFront(ForwardServices services) {
        this.services = services;
        beganNanos = services.time().nanos();
        picker = new OriginPicker(services.random());
        flushes = new FlushLater(services.loop());
    }

    Executor afterReads() {
        return services.afterReads();
    }

    RequestHeads heads() {
        return services.heads();
    }

    CallerLimits limits() {
        return services.configuration().get().map(Configuration::limits).orElse(CallerLimits.USUAL);
    }

    boolean isStopping() {
        return stopping;
    }

    /** Tells callers from now on to use other connections. */
    void stop() {
        stopping = true;
    }

    /** Returns the number of requests that are being served. */
    int active() {
        return active;
    }

    /** Tells whether requests can be served. */
    boolean isReady() {
        return !stopping
                && services.configuration().get().isPresent()
                && services.endpoints().isKnown();
    }

    void opened(CallerConnection connection) {
        connections.add(connection);
    }

    void closed(CallerConnection connection) {
        connections.remove(connection);
    }

    /** Sends what was written to a caller's connection together with what others get, a little later. */
    void flushLater(ChannelHandlerContext ctx) {
        flushes.add(ctx);
    }

    void failed(Throwable cause) {
        services.metrics().count("caller_connection_failures", 1);
        Event.of("caller-connection-failed")
                .with("failure", cause.getClass().getSimpleName())
                .debug(LOG);
    }

    /** Closes the connections of callers that have been idle for too long. */
    void closeIdle() {
        long now = services.time().nanos();
        List.copyOf(connections).forEach(c -> c.closeIfIdle(now));
    }

    /**
     * Refuses from now on what would not end before a time. Connections without a request are closed, the others after
     * their request.
     */
    void limitAdmission(long end) {
        limited = true;
        endNanos = end;
        List.copyOf(connections).forEach(CallerConnection::closeWhenIdle);
    }

    /** Ends what still runs, and closes all connections. */
    void cutOff() {
        List.copyOf(connections).forEach(CallerConnection::cutOff);
    }

    /** Starts an exchange. Returns nothing if the request was refused at once. */
    @Nullable
    Exchange handle(HttpRequest head, ByteBuf body, CallerAnswer answer) {
        try {
            Exchange exchange = admit(head, body, answer);
            active++;
            exchange.start();
            return exchange;
        } catch (RefusedException e) {
            body.release();
            Refusal refusal = e.refusal();
            services.metrics().refused(refusal.reason());
            Event.of("request")
                    .with("id", head.headers().get(services.heads().idHeader(), ""))
                    .with("outcome", "refused-not-run")
                    .with("status", refusal.reason().status())
                    .with("cause", refusal.reason().code())
                    .with("host", head.headers().get("Host", ""))
                    .with("target", head.uri())
                    .with(
                            "config",
                            services.configuration()
                                    .get()
                                    .map(Configuration::number)
                                    .orElse(0L))
                    .info(LOG);
            answer.refuse(refusal);
            return null;
        }
    }

    private Exchange admit(HttpRequest head, ByteBuf body, CallerAnswer answer) throws RefusedException {
        CallerRequest request;
        try {
            request = services.heads().read(head);
        } catch (MalformedRequestException e) {
            throw new RefusedException(
                    Refusal.notRun(RefusalReason.MALFORMED_REQUEST, String.valueOf(e.getMessage())), e);
        }
        Configuration configuration = services.configuration().get().orElseThrow(this::starting);
        Forward route = configuration
                .forwards()
                .find(request.host(), request.path())
                .orElseThrow(() -> refused(RefusalReason.UNKNOWN_ROUTE, "no route has this host and path"));
        if (limited
                && !stops.takes(
                        route.name(),
                        route.timeout(),
                        endNanos - services.time().nanos())) {
            throw new RefusedException(Refusal.notRun(
                    RefusalReason.STOPPING, "this host is about to stop; others serve", RETRY_ELSEWHERE));
        }
        Optional<Account> account = account(configuration, route, request);
        if (exceedsPrepaid(configuration, account, request)) {
            throw refused(RefusalReason.BUDGET_SPENT, "the request may consume more than the whole prepaid budget");
        }
        Origin origin = picker.draw(route.shares())
                .flatMap(configuration::origin)
                .orElseThrow(() -> later(RefusalReason.NO_ENDPOINT, "the route leads to no origin"));
        return new Exchange(services, request, head, body, route, origin, account, answer, new Exchange.Observer() {
            @Override
            public void answered(long tookNanos) {
                stops.answered(route.name(), tookNanos);
            }

            @Override
            public void ended() {
                active--;
            }
        });
    }

    private RefusedException starting() {
        Duration elapsed = Duration.ofNanos(services.time().nanos() - beganNanos);
        return new RefusedException(Refusal.notRun(
                RefusalReason.CONFIGURATION_LEASE_EXPIRED,
                "this host has not yet learned its configuration",
                StartForecast.comeBackAfter(elapsed, services.random().getAsDouble())));
    }

    private Optional<Account> account(Configuration configuration, Forward route, CallerRequest request)
            throws RefusedException {
        Optional<Account> account =
                request.key().flatMap(k -> configuration.accountByKey(digests.computeIfAbsent(k, Digests::apiKey)));
        if (account.isEmpty() && configuration.hasAccounts() && !route.open()) {
            throw refused(RefusalReason.UNKNOWN_KEY, "the request carries no key of a client account");
        }
        return account;
    }

    private static boolean exceedsPrepaid(
            Configuration configuration, Optional<Account> account, CallerRequest request) {
        long most = request.usage().map(TokenUsage::most).orElse(0L);
        return account.filter(Account::metered)
                .flatMap(a -> configuration.budget(a.name(), Budget.ALL_ORIGINS))
                .map(Budget::total)
                .filter(t -> t.isPresent() && most > t.getAsLong())
                .isPresent();
    }

    private static RefusedException refused(RefusalReason reason, String detail) {
        return new RefusedException(Refusal.notRun(reason, detail));
    }

    private static RefusedException later(RefusalReason reason, String detail) {
        return new RefusedException(Refusal.notRun(reason, detail, RETRY_AFTER));
    }
}
