package org.ragwortrun.router.internal.forward;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.util.concurrent.ScheduledFuture;
import java.time.Duration;
import java.util.HashSet;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.jspecify.annotations.Nullable;
import org.ragwortrun.core.concurrent.Causes;
import org.ragwortrun.core.config.Account;
import org.ragwortrun.core.config.Budget;
import org.ragwortrun.core.config.Configuration;
import org.ragwortrun.core.config.Forward;
import org.ragwortrun.core.config.Origin;
import org.ragwortrun.core.log.Event;
import org.ragwortrun.core.refusal.Refusal;
import org.ragwortrun.core.refusal.RefusalReason;
import org.ragwortrun.core.refusal.RefusedException;
import org.ragwortrun.core.refusal.RunOutcome;
import org.ragwortrun.proto.BudgetRef;
import org.ragwortrun.proto.Usage;
import org.ragwortrun.router.internal.evidence.EvidenceKey;
import org.ragwortrun.router.internal.pool.Spending;

/**
 * One request of a caller from its admission to its final answer.
 *
 * <p>A request that may not be repeated goes to another endpoint only if the one before has proved that it did not run.
 * One that may be repeated goes to another endpoint while its route and the allowance permit. Used on the event loop.
 */
final class Exchange {
    private static final Logger LOG = LogManager.getLogger(Exchange.class);
    // Endpoints that are tried for one request while each proves that it did not run.
    private static final int MOST_TRIES = 4;
    // An answer up to this size is held until it is complete, so that a broken one can be replaced by another run.
    private static final int HELD_BYTES = 64 << 10;
    private static final Duration RETRY_AFTER = Duration.ofMillis(400);
    private static final int SERVER_ERROR = 500;
    private static final int UNAVAILABLE = 503;
    private static final int MISDIRECTED = 421;
    private static final int MOST_URGENCY = 9;

    private final ForwardServices services;
    private final CallerRequest request;
    private final HttpRequest head;
    private final ByteBuf body;
    private final Forward route;
    private final Origin origin;
    private final Optional<Account> account;
    private final CallerAnswer answer;
    private final EndpointChoice choices;
    private final RequestContent content;
    private final Observer observer;
    private final long startNanos;
    private final long limitNanos;
    private final Set<String> tried = new HashSet<>();
    private final EventSplitter events = new EventSplitter();
    private @Nullable Spending reservation;
    private @Nullable ScheduledFuture<?> limit;
    private @Nullable Attempt current;
    private int runs;
    private int tries;
    private boolean answering;
    private boolean served;
    private boolean over;
    private long firstByteNanos;
    private String lastCause = "";
    private String reason = "";

    Exchange(
            ForwardServices services,
            CallerRequest request,
            HttpRequest head,
            ByteBuf body,
            Forward route,
            Origin origin,
            Optional<Account> account,
            CallerAnswer answer,
            Observer observer) {
        this.services = services;
        this.request = request;
        this.head = head;
        this.body = body;
        this.route = route;
        this.origin = origin;
        this.account = account;
        this.answer = answer;
        this.observer = observer;
        choices = new EndpointChoice(services, request, origin);
        content = new RequestContent(account.map(Account::name).orElse(""), head.method(), request.target(), body);
        startNanos = services.time().nanos();
        long deadlineMs = request.deadlineMs().orElse(Long.MAX_VALUE);
        limitNanos = startNanos
                + TimeUnit.MILLISECONDS.toNanos(
                        Math.min(deadlineMs, route.timeout().toMillis()));
    }

    /** Reserves the tokens that the request may consume and sends it to an endpoint. */
    void start() {
        limit = services.loop().schedule(this::onLimit, limitNanos - startNanos, TimeUnit.NANOSECONDS);
        services.retries().onRequest(origin.name(), startNanos);
        if (isKeptBack()) {
            return;
        }
        Optional<BudgetRef> budget = budget();
        if (budget.isEmpty()) {
            place();
            return;
        }
        long most = request.usage().map(TokenUsage::most).orElse(0L);
        services.tokens()
                .reserve(budget.get(), most, request.id(), Duration.ofNanos(limitNanos - startNanos))
                .whenComplete((r, failure) -> {
                    if (services.loop().inEventLoop()) {
                        reserved(r, failure);
                    } else {
                        services.loop().execute(() -> reserved(r, failure));
                    }
                });
    }

    /** Hears of the end of an exchange. */
    interface Observer {
        /** Notes how long an answered request took. */
        void answered(long tookNanos);

        /** Notes that the exchange is over, answered or not. */
        void ended();
    }

    /** Ends the exchange because its host stops, with what is known about its run. */
    void stop() {
        if (!over) {
            giveUp("host-stops");
        }
    }

    /** Ends the exchange because the caller has left. */
    void cancel() {
        if (over) {
            return;
        }
        finish("caller-left", 0);
    }

    private Optional<BudgetRef> budget() {
        return request.usage()
                .flatMap(u -> account)
                .filter(Account::metered)
                .map(a -> BudgetRef.newBuilder()
                        .setAccount(a.name())
                        .setService(Budget.ALL_ORIGINS)
                        .build());
    }

    private void reserved(@Nullable Spending r, @Nullable Throwable failure) {
        if (r == null) {
            if (!over) {
                refuse(
                        failure != null && Causes.of(failure) instanceof RefusedException e
                                ? e.refusal()
                                : Refusal.notRun(RefusalReason.BUDGET_UNREACHABLE, "no tokens", RETRY_AFTER));
            }
        } else if (over) {
            r.release();
        } else {
            reservation = r;
            services.afterReads().execute(this::placeForCaller);
        }
    }

    private void placeForCaller() {
        if (over) {
            return;
        }
        if (answer.isOpen()) {
            place();
        } else {
            cancel();
        }
    }

    /** Refuses the request if its content is suspected of crashes. A request that may have run is not sent again. */
    private boolean isKeptBack() {
        Optional<Duration> left = services.suspects().keptBackFor(content);
        if (left.isEmpty()) {
            return false;
        }
        if (runs > 0) {
            giveUp(RefusalReason.CONTENT_QUARANTINED.code());
        } else {
            refuse(Refusal.notRun(
                    RefusalReason.CONTENT_QUARANTINED, "endpoints crashed while they ran this content", left.get()));
        }
        return true;
    }

    private void place() {
        if (isKeptBack()) {
            return;
        }
        EndpointChoice.Choice choice = choices.choose(tried);
        if (choice.endpoint().isPresent()) {
            tries++;
            current = new Attempt(choice.endpoint().get());
            current.begin();
        } else if (choice.earliest().isPresent()) {
            giveUpUntil(choice.earliest().getAsLong(), choice.allowed());
        } else {
            giveUp(choice.allowed() == 0 ? "no-endpoint" : "connections-in-use");
        }
    }

    /** Goes on after an attempt that the endpoint did not run. */
    private void afterNotRun(String cause, boolean arrived) {
        lastCause = cause;
        boolean more = tries < MOST_TRIES
                && limitNanos - services.time().nanos() > 0
                && (!arrived
                        || services.retries()
                                .take(origin.name(), services.time().nanos()));
        if (more) {
            services.metrics().retried(cause);
            place();
        } else {
            giveUp(cause);
        }
    }

    /** Goes on after an attempt that may have run and whose answer is lost. */
    private void afterLost(String cause) {
        lastCause = cause;
        boolean resumable = !answering
                || (route.kind() == Forward.Kind.STREAM && events.lastId().isPresent());
        boolean more = route.isRepeatable()
                && resumable
                && runs < route.attempts()
                && tries < MOST_TRIES
                && services.retries().take(origin.name(), services.time().nanos());
        if (more) {
            services.metrics().retried(cause);
            events.reset();
            place();
        } else {
            giveUp(cause);
        }
    }

    /** Ends a request whose endpoints all want nothing before a time. Callers return spread over some time after it. */
    private void giveUpUntil(long earliest, int endpoints) {
        long waitNanos = Math.max(0, earliest - services.time().nanos());
        long spread = (long) (services.random().getAsDouble() * Math.max(waitNanos / 2, RETRY_AFTER.toNanos()));
        Event.of("endpoints-want-time")
                .with("id", request.id())
                .with("origin", origin.name())
                .with("endpoints", endpoints)
                .with("earliest-ms", waitNanos / 1_000_000)
                .info(LOG);
        giveUp("endpoints-want-time", Duration.ofNanos(waitNanos + spread));
    }

    /** Ends a request for which there is no further endpoint. */
    private void giveUp(String cause) {
        giveUp(cause, RETRY_AFTER);
    }

    private void giveUp(String cause, Duration retryAfter) {
        if (answering) {
            answer.breakOff();
            finish("broken-off:" + cause, 0);
        } else if (runs > 0) {
            refuse(Refusal.unknown(RefusalReason.ENDPOINT_FAILED, "the endpoint's answer was lost: " + cause));
        } else {
            RefusalReason reason =
                    "no-endpoint".equals(cause) ? RefusalReason.NO_ENDPOINT : RefusalReason.ENDPOINT_FULL;
            refuse(Refusal.notRun(reason, "no endpoint has run the request: " + cause, retryAfter));
        }
    }

    private void onLimit() {
        if (over) {
            return;
        }
        if (answering) {
            answer.breakOff();
            finish("broken-off:time-limit", 0);
        } else if (runs > 0) {
            refuse(Refusal.unknown(RefusalReason.ENDPOINT_TIMEOUT, "no answer within the time limit"));
        } else {
            refuse(Refusal.notRun(RefusalReason.ENDPOINT_FULL, "not begun within the time limit", RETRY_AFTER));
        }
    }

    private void refuse(Refusal refusal) {
        services.metrics().refused(refusal.reason());
        reason = refusal.reason().code();
        answer.refuse(refusal);
        finish(
                refusal.run() == RunOutcome.NOT_RUN ? "refused-not-run" : "failed",
                refusal.reason().status());
    }

    /** Ends the exchange: stops what still runs, bills, and logs the decision. */
    private void finish(String outcome, int status) {
        over = true;
        Attempt last = current;
        if (last != null) {
            last.stop();
        }
        if (limit != null) {
            limit.cancel(false);
        }
        long tokens = bill(last, status);
        services.metrics()
                .took("request_ms", outcome.split(":", 2)[0], (services.time().nanos() - startNanos) / 1_000_000);
        log(outcome, status, last, tokens);
        body.release();
        events.close();
        observer.ended();
    }

    /** Bills what the caller got. Until the first part of a successful answer, nothing has been consumed. */
    private long bill(@Nullable Attempt last, int status) {
        Spending r = reservation;
        if (r == null) {
            return 0;
        }
        if (!served || last == null) {
            r.release();
            return 0;
        }
        TokenUsage usage = request.usage().orElse(new TokenUsage(0, 0));
        long output = Math.min(usage.mostOutput(), (long) events.events() * origin.tokensPerEvent());
        long tokens = usage.prompt() + output;
        r.bill(Usage.newBuilder()
                .setBudget(budget().orElse(BudgetRef.getDefaultInstance()))
                .setRequestId(request.id())
                .setTokens(tokens)
                .setPromptTokens(usage.prompt())
                .setOutputTokens(output)
                .setEndpoint(last.endpoint.id())
                .setVersion(last.endpoint.listed().getVersion())
                .setRoute(route.name())
                .setStatus(status));
        return tokens;
    }

    private void log(String outcome, int status, @Nullable Attempt last, long tokens) {
        long now = services.time().nanos();
        Event.of("request")
                .with("id", request.id())
                .with("route", route.name())
                .with("account", account.map(Account::name).orElse(""))
                .with("outcome", outcome)
                .with("status", status)
                .with("endpoint", last == null ? "" : last.endpoint.id())
                .with("tries", tries)
                .with("runs", runs)
                .with("cause", lastCause)
                .with("reason", reason)
                .with("content", content.hexIfKnown())
                .with("tokens", tokens)
                .with("events", events.events())
                .with("first-ms", firstByteNanos == 0 ? -1 : (firstByteNanos - startNanos) / 1_000_000)
                .with("ms", (now - startNanos) / 1_000_000)
                .with("limit-ms", (limitNanos - startNanos) / 1_000_000)
                .with("list-age-ms", services.endpoints().ageMs())
                .with(
                        "config",
                        services.configuration()
                                .get()
                                .map(Configuration::number)
                                .orElse(0L))
                .info(LOG);
    }

    /** One try at one endpoint. */
    private final class Attempt implements AnswerListener {
        private final EndpointState endpoint;
        private final long beganNanos = services.time().nanos();
        // The last part of a prompt belongs to its session; those before it are shared.
        private final AnswerPace pace = new AnswerPace(request.parts().size() > 1, beganNanos);
        private final int eventsBefore = events.events();
        private @Nullable EndpointConnection connection;
        private @Nullable HttpResponse received;
        private ByteBuf held = Unpooled.EMPTY_BUFFER;
        private int pendingTokens;
        private boolean begun;
        private boolean trial;
        private boolean done;
        private boolean isStream;
        private boolean turnedAway;

        Attempt(EndpointState endpoint) {
            this.endpoint = endpoint;
        }

        void begin() {
            tried.add(endpoint.id());
            int total = request.parts().stream().mapToInt(PromptPart::tokens).sum();
            pendingTokens = Math.max(0, total - endpoint.prefixes().cachedTokens(request.parts()));
            endpoint.begin(pendingTokens);
            begun = true;
            trial = endpoint.health().onSent(beganNanos);
            endpoint.connections().acquire(this::connected, this::unreachable);
        }

        private void connected(EndpointConnection c) {
            if (done) {
                endpoint.connections().release(c);
                return;
            }
            if (!mayStillSend()) {
                endpoint.connections().release(c);
                end();
                afterNotRun("endpoint-wants-nothing", false);
                return;
            }
            connection = c;
            runs++;
            endpoint.prefixes().note(request.parts(), services.time().nanos());
            c.send(outgoing(), body.retainedDuplicate(), request.id(), this);
        }

        /** Tells whether the endpoint has said nothing against this request while its connection was opened. */
        private boolean mayStillSend() {
            long now = services.time().nanos();
            return endpoint.isOpen()
                    && endpoint.notices().earliest(now, endpoint.inFlight() - 1).stream()
                            .anyMatch(from -> from - now <= 0);
        }

        private HttpRequest outgoing() {
            HttpRequest out = new DefaultHttpRequest(HttpVersion.HTTP_1_1, head.method(), head.uri());
            services.heads().pass(head.headers(), out.headers());
            long leftMs =
                    TimeUnit.NANOSECONDS.toMillis(limitNanos - services.time().nanos());
            int urgency = account.map(Account::priority)
                    .filter(p -> p.isPresent())
                    .map(p -> p.getAsInt())
                    .orElse(route.priority());
            services.heads()
                    .address(
                            out.headers(),
                            account.map(Account::name),
                            leftMs,
                            endpoint.id(),
                            Math.min(MOST_URGENCY, urgency));
            OptionalLong last = events.lastId();
            if (last.isPresent()) {
                services.heads().resume(out.headers(), last.getAsLong());
            }
            boolean hasBody = body.isReadable()
                    || head.headers().contains(HttpHeaderNames.CONTENT_LENGTH)
                    || head.headers().contains(HttpHeaderNames.TRANSFER_ENCODING);
            if (hasBody) {
                out.headers().set(HttpHeaderNames.CONTENT_LENGTH, body.readableBytes());
            }
            return out;
        }

        private void unreachable(String cause) {
            if (done) {
                return;
            }
            end();
            endpoint.health().onUnreachable(services.time().nanos());
            log("endpoint-unreachable", cause);
            afterNotRun(cause, false);
        }

        @Override
        public void onHead(HttpResponse answerHead) {
            received = answerHead;
            int status = answerHead.status().code();
            turnedAway = status == UNAVAILABLE
                    && endpoint.notices().isPaused(services.time().nanos());
            if (services.heads().isNotRun(answerHead.headers()) || status == MISDIRECTED) {
                EndpointConnection c = connection;
                if (c != null) {
                    c.discardRest();
                }
                endNotRun(answerHead);
                return;
            }
            if (isSuccess() && !services.heads().isProven(answerHead.headers())) {
                broken("unproven-answer");
                return;
            }
            String type = answerHead.headers().get(HttpHeaderNames.CONTENT_TYPE, "");
            isStream = isSuccess() && type.startsWith("text/event-stream");
        }

        private boolean isSuccess() {
            HttpResponse r = received;
            return r != null && r.status().codeClass() == HttpStatusClass.SUCCESS;
        }

        @Override
        public void onBody(ByteBuf part) {
            HttpResponse r = received;
            if (r == null || done) {
                return;
            }
            if (isStream) {
                onEvents(r, part);
            } else {
                hold(part);
            }
        }

        private void onEvents(HttpResponse r, ByteBuf part) {
            OptionalLong before = events.lastId();
            ByteBuf whole = events.add(part);
            if (events.isTooLong()) {
                broken("event-too-long");
                return;
            }
            if (!whole.isReadable()) {
                return;
            }
            boolean follows = before.isEmpty() || !answering || events.firstId() < 0 || isNext(before.getAsLong());
            if (!follows) {
                whole.release();
                broken("events-do-not-follow");
                return;
            }
            readPrompt();
            pace.onEvents(events.events() - eventsBefore, services.time().nanos())
                    .ifPresent(l -> services.evidence().recordLatency(evidenceKey(), l));
            boolean first = !answering;
            if (first) {
                startAnswer(r);
            }
            EndpointConnection c = connection;
            if (!answer.part(whole) && c != null) {
                c.setReading(false);
            }
            if (first) {
                answer.flush();
            }
        }

        /** The first event of a resumed run must follow the last one that the caller got. */
        private boolean isNext(long before) {
            return events.firstId() <= before + 1;
        }

        private void hold(ByteBuf part) {
            if (answering) {
                answer.part(part.retainedDuplicate());
                return;
            }
            if (held.readableBytes() == 0) {
                held = Unpooled.buffer();
            }
            held.writeBytes(part);
            HttpResponse r = received;
            if (held.readableBytes() > HELD_BYTES && r != null) {
                startAnswer(r);
                answer.part(held);
                held = Unpooled.EMPTY_BUFFER;
            }
        }

        private void startAnswer(HttpResponse r) {
            answering = true;
            served = isSuccess();
            firstByteNanos = services.time().nanos();
            answer.head(r);
        }

        private void readPrompt() {
            endpoint.answered(pendingTokens);
            pendingTokens = 0;
        }

        @Override
        public void onEnd() {
            HttpResponse r = received;
            if (done || r == null) {
                return;
            }
            if (isStream && events.hasRest()) {
                broken("stream-ends-within-event");
            } else if (r.status().code() >= SERVER_ERROR && mayReplace()) {
                end();
                judge(false);
                afterLost("endpoint-error-" + r.status().code());
            } else {
                deliver(r);
            }
        }

        private void endNotRun(HttpResponse r) {
            end();
            runs--;
            if (r.status().code() == MISDIRECTED) {
                endpoint.markReplaced();
            }
            log("endpoint-refused", "status-" + r.status().code());
            afterNotRun(r.status().code() == MISDIRECTED ? "endpoint-replaced" : "endpoint-full", true);
        }

        private boolean mayReplace() {
            return route.isRepeatable() && runs < route.attempts() && !answering;
        }

        private void deliver(HttpResponse r) {
            end();
            boolean good = r.status().code() < SERVER_ERROR;
            judge(good);
            services.suspects().answered(content);
            if (!answering) {
                startAnswer(r);
                if (held.isReadable()) {
                    answer.part(held);
                    held = Unpooled.EMPTY_BUFFER;
                }
            }
            answer.end();
            observer.answered(services.time().nanos() - startNanos);
            finish("answered", r.status().code());
        }

        @Override
        public void onBroken(String cause) {
            broken(cause);
        }

        private void broken(String cause) {
            if (done) {
                return;
            }
            end();
            EndpointConnection c = connection;
            if (c != null) {
                c.close();
            }
            endpoint.health().onFailure(services.time().nanos());
            services.metrics().count("endpoint_breaks", 1);
            services.crashes().broken(endpoint, content, evidenceKey());
            log("endpoint-broken", cause);
            afterLost(cause);
        }

        /** Counts a whole answer for or against its endpoint and version. Being asked for time is neither. */
        private void judge(boolean good) {
            if (turnedAway) {
                return;
            }
            if (good) {
                endpoint.health().onSuccess();
            } else {
                endpoint.health().onFailure(services.time().nanos());
            }
            observe(good);
        }

        private void observe(boolean good) {
            services.evidence()
                    .record(evidenceKey(), good, pace.onEnd(services.time().nanos()));
        }

        private EvidenceKey evidenceKey() {
            return new EvidenceKey(origin.name(), endpoint.listed().getVersion(), route.name(), 0);
        }

        /** Stops an attempt that still runs, so that its endpoint drops the request. */
        void stop() {
            if (done) {
                return;
            }
            end();
            EndpointConnection c = connection;
            if (c != null) {
                c.close();
            }
        }

        private void end() {
            done = true;
            if (begun) {
                begun = false;
                readPrompt();
                endpoint.end();
                if (trial) {
                    endpoint.health().onTrialEnded();
                }
            }
        }

        private void log(String event, String cause) {
            Event.of(event)
                    .with("id", request.id())
                    .with("endpoint", endpoint.id())
                    .with("content", content.hexIfKnown())
                    .with("cause", cause)
                    .with("health-out", endpoint.health().isOut())
                    .with("ms", (services.time().nanos() - beganNanos) / 1_000_000)
                    .info(LOG);
        }
    }

    /** Lets the endpoint send on after the caller has read. */
    void resumeReading() {
        Attempt last = current;
        EndpointConnection c = last == null ? null : last.connection;
        if (c != null && !over) {
            c.setReading(true);
        }
    }
}
