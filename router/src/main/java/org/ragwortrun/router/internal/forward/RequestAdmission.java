package org.ragwortrun.router.internal.forward;

import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.HttpRequest;
import java.time.Duration;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
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
import org.ragwortrun.router.internal.DenialRule;
import org.ragwortrun.router.internal.forward.WaitingRequests.CompleteRequest;
import org.ragwortrun.router.internal.host.HostGuard;

/** Admits requests: finds their route, client account and origin, and starts an exchange. Used on the event loop. */
final class RequestAdmission {
    private static final Logger LOG = LogManager.getLogger(RequestAdmission.class);
    private static final Duration RETRY_AFTER = Duration.ofMillis(500);
    // The connection is closed with the refusal, so that the caller retries at another host.
    private static final Duration RETRY_ELSEWHERE = Duration.ofMillis(50);
    private static final int MAX_KEY_DIGESTS = 4_096;

    private final ForwardServices services;
    private final DenialRule denials;
    private final RejectionLog rejections;
    private final OriginPicker picker;
    private final FlushBatcher flushBatcher;
    private final ConfirmationGate gate;
    private final MemoryLimit memory;
    private final HostAdmission host;
    private final Set<CallerConnection> connections = new HashSet<>();
    private final Map<String, String> keyDigests = new LinkedHashMap<>() {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<String, String> eldest) {
            return size() > MAX_KEY_DIGESTS;
        }
    };
    private final ShutdownAdmission shutdownAdmission = new ShutdownAdmission();
    private final long startNanos;
    private volatile boolean stopping;
    private boolean admissionLimited;
    private long endNanos;
    private volatile int active;

    /**
     * Creates the admission of a router.
     *
     * @param maxHeldBytes maximum number of bytes that requests and answers of all callers may occupy
     * @param guard decides which requests this host refuses because of its load
     */
    RequestAdmission(ForwardServices services, long maxHeldBytes, HostGuard guard) {
        this.services = services;
        host = new HostAdmission(guard, services.configuration(), services.headers(), this::keyDigest);
        memory = new MemoryLimit(maxHeldBytes, () -> connections, services.metrics());
        startNanos = services.time().nanos();
        denials = new DenialRule(services.configuration()::isConfirmed, RETRY_AFTER);
        rejections = new RejectionLog(services.configuration(), services.time());
        picker = new OriginPicker(services.random());
        flushBatcher = new FlushBatcher(services.loop());
        gate = new ConfirmationGate(
                services.configuration(),
                services.standstills(),
                services.loop(),
                services.afterReads(),
                services.metrics(),
                services.time());
    }

    Executor afterReads() {
        return services.afterReads();
    }

    RequestHeaders headers() {
        return services.headers();
    }

    CallerLimits limits() {
        return services.configuration().get().map(Configuration::limits).orElse(CallerLimits.DEFAULTS);
    }

    HostAdmission host() {
        return host;
    }

    boolean isStopping() {
        return stopping;
    }

    /** Makes answers close their connections from now on, so that callers open others. */
    void stop() {
        stopping = true;
    }

    /** Returns the number of requests that are being served or wait for a confirmation. */
    int active() {
        return active + gate.waiting();
    }

    /** Runs a task when the configuration is recent, or cannot be confirmed in time. */
    void whenRecent(Runnable task) {
        gate.pass(task);
    }

    /** Handles a confirmation of the configuration. */
    void onConfirmed() {
        gate.onConfirmed();
    }

    /** Returns whether requests can be served. */
    boolean isReady() {
        return !stopping
                && !host.isWithdrawn()
                && services.configuration().get().isPresent()
                && services.endpoints().hasList();
    }

    void onOpened(CallerConnection connection) {
        connections.add(connection);
    }

    void onClosed(CallerConnection connection) {
        connections.remove(connection);
    }

    /** Returns the refusal of a request that exceeds a limit of the configuration. */
    Refusal tooLarge(String detail) {
        Refusal denial = Refusal.notRun(RefusalReason.REQUEST_TOO_LARGE, detail);
        return services.configuration()
                .get()
                .map(c -> denials.refusal(c, denial))
                .orElse(denial);
    }

    /** Records that a request was refused before it could be read. */
    void onRejected(Refusal refusal) {
        services.metrics().refused(refusal.reason());
        rejections.add(refusal);
    }

    MemoryLimit memory() {
        return memory;
    }

    /** Flushes a caller's connection after a short delay, together with others. */
    void flushLater(ChannelHandlerContext ctx) {
        flushBatcher.add(ctx);
    }

    void onFailure(Throwable cause) {
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
     * Refuses from now on requests that would not end before a time. Idle connections are closed at once, others after
     * their request.
     */
    void limitAdmission(long end) {
        admissionLimited = true;
        endNanos = end;
        services.scheduler().limitAdmission(w -> {
            long now = services.time().nanos();
            Duration left = Duration.ofNanos(w.deadlineNanos() - now);
            return shutdownAdmission.accepts(w.admitted().route(), left, end - now);
        });
        List.copyOf(connections).forEach(CallerConnection::closeWhenIdle);
    }

    /** Stops running requests with a part of their prompt that has been quarantined since they were sent. */
    void recheckQuarantine() {
        List.copyOf(connections).forEach(CallerConnection::recheckQuarantine);
    }

    /** Stops running requests and closes all connections. */
    void abortAll() {
        List.copyOf(connections).forEach(c -> c.abortAndClose("host-stops"));
    }

    /**
     * Starts an exchange. Returns nothing if the request was refused at once.
     *
     * @param startNanos monotonic time from which the time limit of the request runs
     */
    @Nullable
    Exchange handle(CompleteRequest complete, long startNanos, AnswerWriter answer) {
        HttpRequest head = complete.head();
        try {
            Exchange exchange = admit(complete, startNanos, answer);
            active++;
            exchange.start();
            return exchange;
        } catch (RefusedException e) {
            complete.body().release();
            Refusal refusal = e.refusal();
            services.metrics().refused(refusal.reason());
            Event.of("request")
                    .with("id", head.headers().get(services.headers().idHeader(), ""))
                    .with("outcome", "refused-not-run")
                    .with("status", refusal.reason().status())
                    .with("cause", refusal.reason().code())
                    .with("host", head.headers().get("Host", ""))
                    .with("target", head.uri())
                    .with("config", services.configuration().number())
                    .with(
                            "confirmed-ms",
                            services.configuration().confirmedAgeMs().orElse(-1))
                    .info(LOG);
            answer.refuse(refusal);
            return null;
        }
    }

    private Exchange admit(CompleteRequest complete, long startNanos, AnswerWriter answer) throws RefusedException {
        HttpRequest head = complete.head();
        CallerRequest request;
        try {
            request = services.headers().read(head);
        } catch (MalformedRequestException e) {
            throw new RefusedException(
                    Refusal.notRun(RefusalReason.MALFORMED_REQUEST, String.valueOf(e.getMessage())), e);
        }
        Configuration configuration = services.configuration().get().orElseThrow(this::noConfiguration);
        Forward route = configuration
                .forwards()
                .find(request.host(), request.path())
                .orElseThrow(() ->
                        denied(configuration, RefusalReason.UNKNOWN_ROUTE, "no route matches this host and path"));
        if (admissionLimited
                && !shutdownAdmission.accepts(
                        route,
                        timeLimit(route, request),
                        endNanos - services.time().nanos())) {
            throw new RefusedException(Refusal.notRun(
                    RefusalReason.STOPPING, "this host is stopping; retry at another host", RETRY_ELSEWHERE));
        }
        Optional<Account> account = account(configuration, route, request);
        if (!complete.accepted()) {
            host.check(route, account);
        }
        if (exceedsPrepaid(configuration, account, request)) {
            throw denied(
                    configuration,
                    RefusalReason.BUDGET_SPENT,
                    "the request may consume more than the whole prepaid budget");
        }
        Origin origin = picker.draw(route.shares())
                .flatMap(configuration::origin)
                .orElseThrow(() -> refusedWithRetry(RefusalReason.NO_ENDPOINT, "the route has no origin"));
        OptionalLong confirmedAgeMs = services.configuration().confirmedAgeMs();
        confirmedAgeMs.ifPresent(ms -> services.metrics().recordDuration("admission_configuration_age", "", ms));
        Admitted admitted = new Admitted(route, origin, account, configuration.number(), confirmedAgeMs, startNanos);
        return new Exchange(services, request, head, complete.body(), admitted, answer, new Exchange.Observer() {
            @Override
            public void onAnswered(long durationNanos) {
                shutdownAdmission.onAnswered(route.name(), durationNanos);
            }

            @Override
            public void onEnded() {
                active--;
            }
        });
    }

    private static Duration timeLimit(Forward route, CallerRequest request) {
        Duration deadline = Duration.ofMillis(request.deadlineMs().orElse(Long.MAX_VALUE));
        return deadline.compareTo(route.timeout()) < 0 ? deadline : route.timeout();
    }

    private RefusedException noConfiguration() {
        Duration elapsed = Duration.ofNanos(services.time().nanos() - startNanos);
        return new RefusedException(Refusal.notRun(
                RefusalReason.CONFIGURATION_LEASE_EXPIRED,
                "this host has not received its configuration yet",
                StartupRetryDelay.retryAfter(elapsed, services.random().getAsDouble())));
    }

    private Optional<Account> account(Configuration configuration, Forward route, CallerRequest request)
            throws RefusedException {
        Optional<Account> account = request.key().flatMap(k -> configuration.accountByKey(keyDigest(k)));
        if (account.isEmpty() && configuration.hasAccounts() && !route.open()) {
            throw denied(configuration, RefusalReason.UNKNOWN_KEY, "the request has no API key of a client account");
        }
        return account;
    }

    private String keyDigest(String key) {
        return keyDigests.computeIfAbsent(key, Digests::apiKey);
    }

    private static boolean exceedsPrepaid(
            Configuration configuration, Optional<Account> account, CallerRequest request) {
        long maxTokens = request.usage().map(TokenUsage::maxTotal).orElse(0L);
        return account.filter(Account::metered)
                .flatMap(a -> configuration.budget(a.name(), Budget.ALL_ORIGINS))
                .map(Budget::total)
                .filter(t -> t.isPresent() && maxTokens > t.getAsLong())
                .isPresent();
    }

    private RefusedException denied(Configuration used, RefusalReason reason, String detail) {
        return new RefusedException(denials.refusal(used, Refusal.notRun(reason, detail)));
    }

    private static RefusedException refusedWithRetry(RefusalReason reason, String detail) {
        return new RefusedException(Refusal.notRun(reason, detail, RETRY_AFTER));
    }
}
