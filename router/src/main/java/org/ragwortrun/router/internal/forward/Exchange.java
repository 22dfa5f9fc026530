package org.ragwortrun.router.internal.forward;

import com.google.protobuf.ByteString;
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
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.jspecify.annotations.Nullable;
import org.ragwortrun.core.config.Account;
import org.ragwortrun.core.config.Forward;
import org.ragwortrun.core.config.Origin;
import org.ragwortrun.core.log.Event;
import org.ragwortrun.core.refusal.Refusal;
import org.ragwortrun.core.refusal.RefusalReason;
import org.ragwortrun.core.refusal.RunOutcome;
import org.ragwortrun.proto.BudgetRef;
import org.ragwortrun.proto.Usage;
import org.ragwortrun.router.internal.evidence.EvidenceKey;
import org.ragwortrun.router.internal.pool.TokenReservation;

/**
 * Handles one request of a caller from its admission to its final answer.
 *
 * <p>A request that is not repeatable is retried at another endpoint only if the previous one has proved that it did
 * not run the request. A repeatable request is retried while its route and the retry allowance permit. Used on the
 * event loop.
 */
final class Exchange implements RequestWait.Sender {
    private static final Logger LOG = LogManager.getLogger(Exchange.class);
    // Endpoints that are tried for one request, even if each proves that it did not run it.
    private static final int MAX_TRIES = 4;
    // Each question for a permit delays the answer to the caller.
    private static final int MAX_DENIED_PERMITS = 4;
    // An answer up to this size is buffered until it is complete, so that the request can be retried if the answer is
    // lost.
    private static final int MAX_BUFFERED_BYTES = 64 << 10;
    private static final int SERVER_ERROR = 500;
    private static final int UNAVAILABLE = 503;
    private static final int MISDIRECTED = 421;
    private static final int MAX_URGENCY = 9;
    // The first event may still be received from an endpoint that crashes as it begins an answer.
    private static final int MAX_EVENTS_BEFORE_CRASH = 1;

    private final ForwardServices services;
    private final CallerRequest request;
    private final HttpRequest head;
    private final ByteBuf body;
    private final Admitted admitted;
    private final Forward route;
    private final Origin origin;
    private final Optional<Account> account;
    private final AnswerWriter answer;
    private final EndpointSelector selector;
    private final RequestContent content;
    private final List<ByteString> sharedParts;
    private final Observer observer;
    private final long startNanos;
    private final long deadlineNanos;
    private final Set<String> tried = new HashSet<>();
    private final Set<String> rejectedBy = new HashSet<>();
    private final RequestWait wait;
    private final EventSplitter events = new EventSplitter();
    private @Nullable TokenReservation reservation;
    private @Nullable ScheduledFuture<?> deadlineTimer;
    private @Nullable Attempt current;
    private int runs;
    private int tries;
    private int triesInTurn;
    private int deniedPermits;
    private boolean answerStarted;
    private boolean billable;
    private boolean ended;
    private long firstByteNanos;
    private String lastCause = "";
    private String reason = "";

    Exchange(
            ForwardServices services,
            CallerRequest request,
            HttpRequest head,
            ByteBuf body,
            Admitted admitted,
            AnswerWriter answer,
            Observer observer) {
        this.services = services;
        this.request = request;
        this.head = head;
        this.body = body;
        this.admitted = admitted;
        route = admitted.route();
        origin = admitted.origin();
        account = admitted.account();
        this.answer = answer;
        this.observer = observer;
        selector = new EndpointSelector(services, request, admitted);
        content = new RequestContent(account.map(Account::name).orElse(""), head.method(), request.target(), body);
        sharedParts = SharedParts.of(origin.name(), request.parts());
        startNanos = admitted.startNanos();
        long deadlineMs = request.deadlineMs().orElse(Long.MAX_VALUE);
        deadlineNanos = startNanos
                + TimeUnit.MILLISECONDS.toNanos(
                        Math.min(deadlineMs, route.timeout().toMillis()));
        wait = new RequestWait(services.scheduler(), admitted, request, body.capacity(), deadlineNanos, this);
    }

    /** Reserves the tokens that the request may consume and sends it to an endpoint. */
    void start() {
        deadlineTimer = services.loop()
                .schedule(this::onDeadline, deadlineNanos - services.time().nanos(), TimeUnit.NANOSECONDS);
        services.retries().onRequest(origin.name(), startNanos);
        if (deadlineNanos - services.time().nanos() <= 0) {
            onDeadline();
            return;
        }
        if (refuseIfQuarantined()) {
            return;
        }
        Optional<BudgetRef> budget = admitted.budget(request);
        if (budget.isEmpty()) {
            sendToEndpoint();
            return;
        }
        long maxTokens = request.usage().map(TokenUsage::maxTotal).orElse(0L);
        services.tokens()
                .reserve(budget.get(), maxTokens, request.id(), Duration.ofNanos(deadlineNanos - startNanos))
                .whenComplete((r, failure) -> {
                    if (services.loop().inEventLoop()) {
                        onReserved(r, failure);
                    } else {
                        services.loop().execute(() -> onReserved(r, failure));
                    }
                });
    }

    /** Observes the end of an exchange. */
    interface Observer {
        /** Called with the duration of an answered request. */
        void onAnswered(long durationNanos);

        /** Called when the exchange has ended, answered or not. */
        void onEnded();
    }

    /** Returns the size of the buffers of an answer that is not written yet. */
    long bufferedBytes() {
        Attempt last = current;
        return events.capacity() + (last == null ? 0 : last.buffered.capacity());
    }

    /** Ends the exchange for a cause in its host, and tells the caller whether the request may have run. */
    void stop(String cause) {
        if (!ended) {
            giveUp(cause);
        }
    }

    /** Ends the exchange because the caller has disconnected. */
    void cancel() {
        if (ended) {
            return;
        }
        finish("caller-left", 0);
    }

    private void onReserved(@Nullable TokenReservation r, @Nullable Throwable failure) {
        if (r == null) {
            if (!ended) {
                refuse(ExchangeRefusals.ofReservation(failure));
            }
        } else if (ended) {
            r.release();
        } else {
            reservation = r;
            services.afterReads().execute(this::sendIfCallerConnected);
        }
    }

    private void sendIfCallerConnected() {
        if (ended) {
            return;
        }
        if (answer.isOpen()) {
            sendToEndpoint();
        } else {
            cancel();
        }
    }

    /**
     * Ends the request if its content or a part of its prompt is quarantined, even if it may have run before. Returns
     * whether it did.
     */
    private boolean refuseIfQuarantined() {
        Optional<Refusal> refusal = services.quarantine()
                .remainingQuarantine(content)
                .map(left -> Refusal.notRun(
                        RefusalReason.CONTENT_QUARANTINED, "endpoints crashed while running this content", left))
                .or(() -> services.partQuarantine().refusal(sharedParts));
        refusal.ifPresent(this::endQuarantined);
        return refusal.isPresent();
    }

    private void endQuarantined(Refusal refusal) {
        if (runs > 0) {
            giveUp(refusal.reason().code());
        } else {
            refuse(refusal);
        }
    }

    /** Stops an attempt whose answer has not begun if a part of its prompt has been quarantined since it began. */
    void recheckQuarantine() {
        if (!ended && current != null && !answerStarted) {
            services.partQuarantine().refusal(sharedParts).ifPresent(this::endQuarantined);
        }
    }

    private void sendToEndpoint() {
        if (refuseIfQuarantined()) {
            return;
        }
        if (wait.mustQueue()) {
            beginWait("queue");
            return;
        }
        EndpointSelector.Choice choice = selector.choose(tried, deniedPermits < MAX_DENIED_PERMITS);
        if (choice.endpoint().isPresent()) {
            sendIfPermitted(choice.endpoint().get(), choice.lastResort());
        } else if (wait.canWait(choice, !rejectedBy.isEmpty())) {
            beginWait(choice.cause());
        } else {
            giveUp(choice.cause(), ExchangeRefusals.retryAfter(services, request, origin, wait, choice));
        }
    }

    /** Waits for an endpoint. One that has rejected the request has not run it, so it may be tried again. */
    private void beginWait(String cause) {
        tried.removeAll(rejectedBy);
        rejectedBy.clear();
        triesInTurn = 0;
        deniedPermits = 0;
        wait.begin(cause);
    }

    @Override
    public EndpointSelector.Choice choose() {
        return selector.choose(tried, true);
    }

    @Override
    public void sendAfterWait(EndpointState endpoint, boolean lastResort) {
        if (!refuseIfQuarantined()) {
            sendIfPermitted(endpoint, lastResort);
        }
    }

    private void sendIfPermitted(EndpointState endpoint, boolean lastResort) {
        if (lastResort || !endpoint.limit().needsPermit(services.time().nanos())) {
            send(endpoint, false);
            return;
        }
        services.permits().acquire(endpoint.id(), endpoint.limit(), granted -> {
            if (ended) {
                return;
            }
            if (granted) {
                send(endpoint, true);
            } else {
                deniedPermits++;
                sendToEndpoint();
            }
        });
    }

    private void send(EndpointState endpoint, boolean permitted) {
        tries++;
        triesInTurn++;
        current = new Attempt(endpoint, permitted);
        current.begin();
    }

    /** Retries or gives up after an attempt that the endpoint did not run. */
    private void onNotRun(String cause, boolean sent) {
        lastCause = cause;
        boolean waits = triesInTurn >= MAX_TRIES && sent && wait.isEnabled();
        boolean retry = (waits || triesInTurn < MAX_TRIES)
                && deadlineNanos - services.time().nanos() > 0
                && (!sent
                        || services.retries()
                                .tryAcquire(origin.name(), services.time().nanos()));
        if (retry) {
            services.metrics().retried(cause);
        }
        if (retry && waits) {
            beginWait(cause);
        } else if (retry) {
            sendToEndpoint();
        } else {
            giveUp(cause);
        }
    }

    /** Retries or gives up after an attempt that may have run and whose answer was lost. */
    private void onAnswerLost(String cause) {
        lastCause = cause;
        boolean resumable = !answerStarted
                || (route.kind() == Forward.Kind.STREAM && events.lastId().isPresent());
        boolean retry = route.isRepeatable()
                && resumable
                && runs < route.attempts()
                && triesInTurn < MAX_TRIES
                && services.retries().tryAcquire(origin.name(), services.time().nanos());
        if (retry) {
            services.metrics().retried(cause);
            events.reset();
            sendToEndpoint();
        } else {
            giveUp(cause);
        }
    }

    /** Ends a request that is not sent to another endpoint. */
    private void giveUp(String cause) {
        giveUp(cause, wait.retryAfter(cause));
    }

    private void giveUp(String cause, Duration retryAfter) {
        giveUp(ExchangeRefusals.reason(cause), cause, retryAfter);
    }

    @Override
    public void giveUp(RefusalReason why, String cause, Duration retryAfter) {
        if (answerStarted) {
            answer.abort();
            finish("broken-off:" + cause, 0);
        } else if (runs > 0) {
            refuse(Refusal.unknown(RefusalReason.ENDPOINT_FAILED, "the endpoint's answer was lost: " + cause));
        } else {
            refuse(Refusal.notRun(why, "no endpoint has run the request: " + cause, retryAfter));
        }
    }

    private void onDeadline() {
        if (ended) {
            return;
        }
        if (answerStarted) {
            answer.abort();
            finish("broken-off:time-limit", 0);
        } else if (runs > 0) {
            refuse(Refusal.unknown(RefusalReason.ENDPOINT_TIMEOUT, "no answer within the time limit"));
        } else {
            refuse(ExchangeRefusals.NOT_STARTED);
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

    /** Ends the exchange: stops a running attempt, bills the request, and logs the outcome. */
    private void finish(String outcome, int status) {
        ended = true;
        wait.leave();
        Attempt last = current;
        if (last != null) {
            last.stop();
        }
        if (deadlineTimer != null) {
            deadlineTimer.cancel(false);
        }
        long tokens = bill(last, status);
        services.metrics()
                .recordDuration(
                        "request_ms", outcome.split(":", 2)[0], (services.time().nanos() - startNanos) / 1_000_000);
        log(outcome, status, last, tokens);
        body.release();
        events.close();
        observer.onEnded();
    }

    /** Bills the tokens that the caller received. Nothing is billed before the first part of a successful answer. */
    private long bill(@Nullable Attempt last, int status) {
        TokenReservation r = reservation;
        if (r == null) {
            return 0;
        }
        if (!billable || last == null) {
            r.release();
            return 0;
        }
        TokenUsage usage = request.usage().orElse(new TokenUsage(0, 0));
        long output = Math.min(usage.maxOutput(), (long) events.events() * origin.tokensPerEvent());
        long tokens = usage.prompt() + output;
        r.bill(Usage.newBuilder()
                .setBudget(admitted.budget(request).orElse(BudgetRef.getDefaultInstance()))
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
        Event line = Event.of("request")
                .with("id", request.id())
                .with("route", route.name())
                .with("account", account.map(Account::name).orElse(""))
                .with("outcome", outcome)
                .with("status", status)
                .with("endpoint", last == null ? "" : last.endpoint.id())
                .with("tries", tries)
                .with("runs", runs)
                .with("cause", lastCause)
                .with("reason", reason);
        if (last != null) {
            last.addAnswer(line);
        }
        wait.addTo(admitted.addTo(line))
                .with("content", content.hexIfComputed())
                .with("parts", reason.equals(RefusalReason.PART_QUARANTINED.code()) ? request.partIds() : "")
                .with("tokens", tokens)
                .with("events", events.events())
                .with("first-ms", firstByteNanos == 0 ? -1 : (firstByteNanos - startNanos) / 1_000_000)
                .with("ms", (now - startNanos) / 1_000_000)
                .with("limit-ms", (deadlineNanos - startNanos) / 1_000_000)
                .with("list-age-ms", services.endpoints().ageMs())
                .with("config", services.configuration().number())
                .info(LOG);
    }

    /** One attempt to run the request at one endpoint. */
    private final class Attempt implements AnswerListener {
        private final EndpointState endpoint;
        private final boolean permitted;
        private final long attemptStartNanos = services.time().nanos();
        private final AnswerObserver observed;
        private final int eventsBefore = events.events();
        private final OptionalLong resumedAfter = answerStarted ? events.lastId() : OptionalLong.empty();
        private @Nullable EndpointConnection connection;
        private @Nullable HttpResponse answerHead;
        private ByteBuf buffered = Unpooled.EMPTY_BUFFER;
        private int pendingTokens;
        private boolean counted;
        private boolean probe;
        private boolean done;
        private boolean isStream;
        private boolean pauseRequested;
        private long sentNanos;

        Attempt(EndpointState endpoint, boolean permitted) {
            this.endpoint = endpoint;
            observed = services.performance().observe(endpoint, origin, request, attemptStartNanos);
            this.permitted = permitted;
        }

        void begin() {
            tried.add(endpoint.id());
            int total = request.parts().stream().mapToInt(PromptPart::tokens).sum();
            pendingTokens = Math.max(0, total - endpoint.prefixCache().cachedTokens(request.parts()));
            endpoint.onRequestStarted(pendingTokens);
            counted = true;
            probe = endpoint.health().onSent(attemptStartNanos);
            endpoint.connections().acquire(this::onConnected, this::onUnreachable);
        }

        private void onConnected(EndpointConnection c) {
            if (done) {
                endpoint.connections().release(c);
                return;
            }
            if (!selector.stillAccepts(endpoint, permitted, attemptStartNanos)) {
                endpoint.connections().release(c);
                end();
                onNotRun("endpoint-wants-nothing", false);
                return;
            }
            connection = c;
            runs++;
            sentNanos = services.time().nanos();
            admitted.logIfOutdated(services.configuration().number(), request.id(), endpoint.id());
            endpoint.onRequestSent(this, sentNanos);
            if (permitted) {
                services.metrics().count("requests_to_limited_endpoints", 1);
            }
            endpoint.prefixCache().onPromptSent(request.parts(), services.time().nanos());
            c.send(endpointRequest(), body.retainedDuplicate(), request.id(), this);
        }

        private HttpRequest endpointRequest() {
            HttpRequest out = new DefaultHttpRequest(HttpVersion.HTTP_1_1, head.method(), head.uri());
            services.headers().copyToEndpoint(head.headers(), out.headers());
            long leftMs = TimeUnit.NANOSECONDS.toMillis(
                    deadlineNanos - services.time().nanos());
            services.headers()
                    .setEndpointHeaders(
                            out.headers(),
                            account.map(Account::name),
                            leftMs,
                            endpoint.id(),
                            Math.min(MAX_URGENCY, admitted.priority()));
            OptionalLong last = events.lastId();
            if (last.isPresent()) {
                services.headers().setLastEventId(out.headers(), last.getAsLong());
            }
            boolean hasBody = body.isReadable()
                    || head.headers().contains(HttpHeaderNames.CONTENT_LENGTH)
                    || head.headers().contains(HttpHeaderNames.TRANSFER_ENCODING);
            if (hasBody) {
                out.headers().set(HttpHeaderNames.CONTENT_LENGTH, body.readableBytes());
            }
            return out;
        }

        private void onUnreachable(String cause) {
            if (done) {
                return;
            }
            end();
            endpoint.outcomes().onUnreachable(cause, services.time().nanos());
            log("endpoint-unreachable", cause);
            onNotRun(cause, false);
        }

        @Override
        public void onHead(HttpResponse receivedHead) {
            answerHead = receivedHead;
            if (services.limits().read(endpoint, receivedHead, sentNanos)) {
                services.permits().report(endpoint.id(), endpoint.limit());
            }
            int status = receivedHead.status().code();
            pauseRequested = status == UNAVAILABLE
                    && endpoint.notices().isPaused(services.time().nanos());
            if (services.headers().isNotRun(receivedHead.headers()) || status == MISDIRECTED) {
                EndpointConnection c = connection;
                if (c != null) {
                    c.discardRest();
                }
                endNotRun(receivedHead);
                return;
            }
            if (isSuccess() && !services.headers().hasProof(receivedHead.headers())) {
                fail("unproven-answer");
                return;
            }
            String type = receivedHead.headers().get(HttpHeaderNames.CONTENT_TYPE, "");
            isStream = isSuccess() && type.startsWith("text/event-stream");
            if (answerStarted && !isStream) {
                fail("answer-does-not-continue-stream");
            }
        }

        private boolean isSuccess() {
            HttpResponse r = answerHead;
            return r != null && r.status().codeClass() == HttpStatusClass.SUCCESS;
        }

        @Override
        public void onBody(ByteBuf part) {
            HttpResponse r = answerHead;
            if (r == null || done) {
                return;
            }
            answer.onReceived(part.readableBytes());
            if (done) {
                return;
            }
            if (isStream) {
                onEvents(r, part);
            } else {
                buffer(r, part);
            }
        }

        private void onEvents(HttpResponse r, ByteBuf part) {
            ByteBuf complete = events.add(part);
            if (events.isTooLong()) {
                fail("event-too-long");
                return;
            }
            if (!complete.isReadable()) {
                return;
            }
            if (!continuesStream()) {
                complete.release();
                fail("events-do-not-follow");
                return;
            }
            onPromptRead();
            observed.onEvents(events.events() - eventsBefore, services.time().nanos())
                    .ifPresent(l -> services.evidence().recordLatency(evidenceKey(), l));
            boolean first = !answerStarted;
            if (first) {
                startAnswer(r);
            }
            writeBody(complete);
            if (first) {
                answer.flush();
            }
        }

        /**
         * Returns whether the first event of a resumed stream, if there is one yet, is the one after the last that the
         * caller received.
         */
        private boolean continuesStream() {
            return resumedAfter.isEmpty()
                    || events.events() == eventsBefore
                    || events.firstId() == resumedAfter.getAsLong() + 1;
        }

        /**
         * Buffers a part of a body. Parts that arrive together are written together, because each part that waits for a
         * slow caller occupies more memory than its size.
         */
        private void buffer(HttpResponse r, ByteBuf part) {
            if (!buffered.isReadable()) {
                buffered = Unpooled.buffer(part.readableBytes());
            }
            buffered.writeBytes(part);
            if (buffered.readableBytes() > MAX_BUFFERED_BYTES) {
                if (!answerStarted) {
                    startAnswer(r);
                }
                writeBuffered();
            }
        }

        @Override
        public void onReadComplete() {
            if (!done && !isStream && answerStarted) {
                writeBuffered();
            }
        }

        private void writeBuffered() {
            if (buffered.isReadable()) {
                ByteBuf part = buffered;
                buffered = Unpooled.EMPTY_BUFFER;
                writeBody(part);
            }
        }

        /** Writes a part of the body and stops reading from the endpoint if the caller cannot receive more. */
        private void writeBody(ByteBuf part) {
            EndpointConnection c = connection;
            // After the end of the answer, the connection may already serve another request.
            if (!answer.writeBody(part) && c != null && !done) {
                c.setReading(false);
            }
        }

        private void startAnswer(HttpResponse r) {
            answerStarted = true;
            billable = isSuccess();
            firstByteNanos = services.time().nanos();
            answer.writeHead(r);
        }

        private void onPromptRead() {
            endpoint.onAnswerBegun(this);
            endpoint.onPromptRead(pendingTokens);
            pendingTokens = 0;
        }

        @Override
        public void onEnd() {
            HttpResponse r = answerHead;
            if (done || r == null) {
                return;
            }
            if (isStream && events.hasPartialEvent()) {
                fail("stream-ends-within-event");
            } else if (r.status().code() >= SERVER_ERROR && mayRetry()) {
                end();
                recordOutcome(false);
                onAnswerLost("endpoint-error-" + r.status().code());
            } else {
                deliver(r);
            }
        }

        private void endNotRun(HttpResponse r) {
            end();
            runs--;
            if (r.status().code() == MISDIRECTED) {
                endpoint.markReplaced();
            } else {
                rejectedBy.add(endpoint.id());
                services.scheduler().onRejected(endpoint, sentNanos);
            }
            log("endpoint-refused", "status-" + r.status().code());
            onNotRun(r.status().code() == MISDIRECTED ? "endpoint-replaced" : "endpoint-full", true);
        }

        private boolean mayRetry() {
            return route.isRepeatable() && runs < route.attempts() && !answerStarted;
        }

        private void deliver(HttpResponse r) {
            end();
            boolean good = r.status().code() < SERVER_ERROR;
            recordOutcome(good);
            services.scheduler().onAnswered(endpoint, admitted, services.time().nanos() - sentNanos);
            services.quarantine().onAnswered(content);
            if (isSuccess()) {
                services.partQuarantine().onAnswered(sharedParts);
            }
            if (!answerStarted) {
                startAnswer(r);
            }
            writeBuffered();
            answer.complete();
            observer.onAnswered(services.time().nanos() - startNanos);
            finish("answered", r.status().code());
        }

        @Override
        public void onBroken(String cause) {
            fail(cause);
        }

        private void fail(String cause) {
            if (done) {
                return;
            }
            end();
            EndpointConnection c = connection;
            if (c != null) {
                c.close();
            }
            endpoint.outcomes().onBroken(cause, services.time().nanos());
            services.metrics().count("endpoint_breaks", 1);
            services.crashDetector().onInterrupted(endpoint, content, evidenceKey(), unansweredParts());
            log("endpoint-broken", cause);
            onAnswerLost(cause);
        }

        /** Returns the shared parts of the prompt if the endpoint may have crashed at the beginning of its answer. */
        private List<ByteString> unansweredParts() {
            return events.events() - eventsBefore <= MAX_EVENTS_BEFORE_CRASH ? sharedParts : List.of();
        }

        /**
         * Counts a complete answer as success or failure of its endpoint and version. A request to pause counts as
         * neither.
         */
        private void recordOutcome(boolean good) {
            if (pauseRequested) {
                return;
            }
            endpoint.outcomes().onAnswered(good, sentNanos, services.time().nanos());
            recordEvidence(good);
        }

        private void recordEvidence(boolean good) {
            services.evidence()
                    .record(evidenceKey(), good, observed.onEnd(services.time().nanos(), isSuccess()));
        }

        private EvidenceKey evidenceKey() {
            return new EvidenceKey(origin.name(), endpoint.listed().getVersion(), route.name(), 0);
        }

        /** Stops a running attempt, so that its endpoint cancels the request. */
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
            if (counted) {
                counted = false;
                onPromptRead();
                endpoint.onRequestEnded();
                services.scheduler().onAttemptEnded(endpoint, origin);
                if (probe) {
                    endpoint.health().onProbeEnded();
                }
            }
        }

        /** Adds what was received from the endpoint, and over which connection. */
        private Event addAnswer(Event line) {
            EndpointConnection c = connection;
            return (c == null ? ConnectionTrace.NONE : c.trace()).addTo(line);
        }

        private void log(String event, String cause) {
            addAnswer(Event.of(event).with("id", request.id()).with("endpoint", endpoint.id()))
                    .with("content", content.hexIfComputed())
                    .with("parts", request.partIds())
                    .with("events", events.events() - eventsBefore)
                    .with("cause", cause)
                    .with("health-out", endpoint.health().isExcluded())
                    .with("ms", (services.time().nanos() - attemptStartNanos) / 1_000_000)
                    .info(LOG);
        }
    }

    /** Resumes reading from the endpoint when the caller can receive more. */
    void resumeReading() {
        Attempt last = current;
        EndpointConnection c = last == null || last.done ? null : last.connection;
        if (c != null) {
            c.setReading(true);
        }
    }
}
