package org.ragwortrun.router.internal.flow;

import java.time.Duration;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.Executor;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.jspecify.annotations.Nullable;
import org.ragwortrun.core.log.Event;
import org.ragwortrun.core.refusal.Refusal;
import org.ragwortrun.core.refusal.RefusalReason;
import org.ragwortrun.core.refusal.RunOutcome;
import org.ragwortrun.net.TransportException;
import org.ragwortrun.proto.Attach;
import org.ragwortrun.proto.Cancel;
import org.ragwortrun.proto.Chunk;
import org.ragwortrun.proto.Claim;
import org.ragwortrun.proto.ClaimResult;
import org.ragwortrun.proto.Credit;
import org.ragwortrun.proto.Dispatch;
import org.ragwortrun.proto.Finished;
import org.ragwortrun.proto.Frame;
import org.ragwortrun.proto.Refused;
import org.ragwortrun.proto.RunState;
import org.ragwortrun.proto.Usage;
import org.ragwortrun.router.internal.ledger.Reservation;
import org.ragwortrun.router.internal.request.AdmittedRequest;
import org.ragwortrun.routing.AnswerGapException;
import org.ragwortrun.routing.BufferOverflowException;
import org.ragwortrun.routing.EndpointCandidate;
import org.ragwortrun.routing.StreamBuffer;

/**
 * Processes one admitted request from its reservation to its final answer.
 *
 * <p>All methods run on the mailbox of the request. The caller gets exactly one final answer. The reservation is ended
 * exactly once, and as "not run" only if no agent can have run the request.
 */
final class RequestFlow implements AgentCall.Events, EarlierAttemptResolver.Callbacks {
    private static final Logger LOG = LogManager.getLogger(RequestFlow.class);
    private static final Duration RETRY_DELAY = Duration.ofSeconds(1);
    private static final int CLIENT_ERROR = 400;
    private static final int SERVER_ERROR = 500;
    private static final int MAX_CLAIMS = 8;
    // The agent itself ends a run at the deadline; the grace period is for its last messages.
    private static final Duration DRAIN_GRACE = Duration.ofSeconds(10);

    private final FlowServices services;
    private final AdmittedRequest request;
    private final Executor mailbox;
    private final Runnable onDone;
    private final long startedAt;
    private final StreamBuffer buffer;
    private final AnswerAssembler assembler;
    private final Answer answer;
    private final RequestCompletion completion;
    private final AgentFinder finder;
    private final EndpointSelection selection;
    private final RequestReport report;
    private final StallTimeout stallTimeout;
    private final Set<String> excluded = new HashSet<>();
    private FlowState state = FlowState.RESERVING;
    private @Nullable Future<?> deadline;
    private @Nullable AgentCall call;
    private @Nullable Refusal deferredRefusal;
    private int attempt = 1;
    private int replacedAttempt;
    private int claimCount;
    private int retries;
    private boolean discarding;
    private boolean dispatched;
    private boolean exchangeEnded;
    private boolean doneReported;

    RequestFlow(
            FlowServices services,
            AdmittedRequest request,
            CallerResponse response,
            Executor mailbox,
            long startedAt,
            Runnable onDone) {
        this.services = services;
        this.request = request;
        this.mailbox = mailbox;
        this.startedAt = startedAt;
        this.onDone = onDone;
        buffer = new StreamBuffer(services.buffers(), request.budget().getAccount());
        report = new RequestReport(services, request, startedAt);
        selection = new EndpointSelection(services, request);
        finder = new AgentFinder(services, mailbox, () -> state == FlowState.RECOVERING);
        assembler = AnswerAssembler.of(request, buffer, services.settings().resumeBytes());
        answer = new Answer(
                request,
                response,
                buffer,
                () -> mailbox.execute(this::onRead),
                services.time().wallMillis());
        completion = new RequestCompletion(services, request, answer);
        stallTimeout = new StallTimeout(services, mailbox, answer, () -> exchangeEnded);
    }

    void start() {
        services.retries().onRequest(request.route().name());
        deadline = schedule(remainingTime(), this::onDeadline);
        if (!buffer.open()) {
            refuse(Refusal.notRun(RefusalReason.OVERLOADED, "no buffer is left for another answer", RETRY_DELAY));
            return;
        }
        reserve();
    }

    /** Called when the exchange with the caller has ended, successfully or not. */
    void onExchangeEnded() {
        exchangeEnded = true;
        boolean unanswered = !answer.isEnded();
        answer.abandon();
        assembler.startDiscarding();
        switch (state) {
            case SENT -> {
                if (unanswered) {
                    // A request with a key continues, because its caller may retry to get the answer.
                    cancelUnlessKeyed("caller-gone");
                }
                drain();
            }
            case RESERVING, CLAIMING, BACKING_OFF -> {
                completion.abandon();
                finish();
            }
            case RECOVERING -> {
                completion.hold();
                finish();
            }
            case DRAINING, DONE -> reportDoneIfEnded();
        }
    }

    // ---- before the dispatch ----

    private void reserve() {
        state = FlowState.RESERVING;
        services.grants().reserve(request.budget(), request.reserved()).whenCompleteAsync(this::onReserved, mailbox);
    }

    private void onReserved(@Nullable Reservation granted, @Nullable Throwable failure) {
        if (state != FlowState.RESERVING) {
            if (granted != null) {
                granted.release();
            }
            return;
        }
        if (granted != null) {
            completion.setReservation(granted);
            deferredRefusal = null;
            selectEndpoint();
        } else {
            refuseAfterRegisterCheck(Refusals.ofFailure(failure));
        }
    }

    /** Refuses a request that has not run. If it has a key, first checks the register for an earlier run. */
    private void refuseAfterRegisterCheck(Refusal refusal) {
        if (request.hasKey() && !completion.isClaimed() && deferredRefusal == null) {
            deferredRefusal = refusal;
            claim(null);
        } else {
            refuseNotRun(refusal);
        }
    }

    private void selectEndpoint() {
        if (!completion.hasReservation()) {
            // The first reservation was released when an earlier attempt was found to be running.
            reserve();
            return;
        }
        Optional<Refusal> suspect = services.suspects().check(request);
        if (suspect.isPresent()) {
            refuseAfterRegisterCheck(suspect.get());
            return;
        }
        Optional<EndpointCandidate> chosen = selection.select(assembler.length() > 0, report.version(), excluded);
        if (chosen.isEmpty()) {
            retryOrRefuse(
                    "no-endpoint",
                    Refusal.notRun(
                            RefusalReason.NO_ENDPOINT,
                            "service " + request.service().name() + " has no endpoint that takes work",
                            RETRY_DELAY));
        } else if (request.hasKey()) {
            claim(chosen.get());
        } else {
            dispatch(chosen.get());
        }
    }

    // ---- register ----

    /** Claims the request id for an endpoint, or without one to query the register for an earlier attempt. */
    private void claim(@Nullable EndpointCandidate candidate) {
        state = FlowState.CLAIMING;
        claimCount++;
        Claim claim = FlowMessages.claim(request, services.settings().incarnation(), candidate, replacedAttempt);
        services.register()
                .claim(claim)
                .whenCompleteAsync((result, failure) -> onClaim(candidate, result, failure), mailbox);
    }

    private void onClaim(
            @Nullable EndpointCandidate candidate, @Nullable ClaimResult result, @Nullable Throwable failure) {
        if (state != FlowState.CLAIMING) {
            if (result != null && result.getOutcome() == ClaimResult.Outcome.FRESH) {
                resolveNotRun(result.getAttempt());
            }
            return;
        }
        if (result == null) {
            onRegisterUnreachable(candidate, failure);
            return;
        }
        ClaimAction action = ClaimRule.decide(result, request.route().repeatable());
        switch (action) {
            case DISPATCH -> onClaimed(candidate, result);
            case REPLACE -> replaceAttempt(result.getAttempt());
            case ASK_AGENT, ATTACH -> recoverEarlierAttempt(result);
            case ANSWER_KEPT -> answerFromRegister(result);
            default -> refuse(Refusals.ofClaim(action));
        }
    }

    private void onClaimed(@Nullable EndpointCandidate candidate, ClaimResult result) {
        completion.onClaimed(result.getAttempt());
        attempt = result.getAttempt();
        Refusal refusal = deferredRefusal;
        if (refusal != null) {
            refuseNotRun(refusal);
        } else if (candidate != null) {
            dispatch(candidate);
        }
    }

    private void onRegisterUnreachable(@Nullable EndpointCandidate candidate, @Nullable Throwable failure) {
        Refusal refusal = deferredRefusal;
        if (refusal != null) {
            refuse(refusal);
        } else if (request.route().repeatable() && candidate != null) {
            // The request may run twice, but it is billed only once.
            dispatch(candidate);
        } else {
            refuse(Refusal.notRun(
                    RefusalReason.REGISTER_UNREACHABLE,
                    "the request id could not be claimed: " + Refusals.message(failure),
                    RETRY_DELAY));
        }
    }

    /** Starts a new attempt that replaces an earlier one that did not run or may be repeated. */
    private void replaceAttempt(int earlier) {
        Refusal refusal = deferredRefusal;
        if (refusal != null) {
            refuse(refusal);
        } else if (claimCount >= MAX_CLAIMS) {
            refuse(Refusal.notRun(
                    RefusalReason.REGISTER_UNREACHABLE,
                    "other attempts of the request are competing for the claim",
                    RETRY_DELAY));
        } else {
            replacedAttempt = earlier;
            selectEndpoint();
        }
    }

    private void answerFromRegister(ClaimResult result) {
        completion.release();
        answer.acceptHead(Chunk.newBuilder()
                .setStatus(result.getStatus())
                .addHeaders(Answer.header("Content-Type", "application/json"))
                .build());
        if (!assembler.acceptStored(result.getAnswer().toByteArray())) {
            refuse(new Refusal(
                    RefusalReason.OVERLOADED,
                    RunOutcome.RAN,
                    "no buffer is left for the answer",
                    Optional.of(RETRY_DELAY)));
            return;
        }
        answer.onDataBuffered();
        answer.finish(new AnswerSummary(0, 0, false));
        finish();
    }

    /** Determines the outcome of an earlier attempt by querying its agent. */
    private void recoverEarlierAttempt(ClaimResult result) {
        if (assembler.length() > 0) {
            // Another router has restarted the request, and its answer may begin differently.
            fail(Refusal.unknown(
                    RefusalReason.ENDPOINT_FAILED, "another attempt has replaced the one that started the answer"));
            return;
        }
        replacedAttempt = result.getAttempt();
        state = FlowState.RECOVERING;
        EarlierAttemptResolver earlier = new EarlierAttemptResolver(finder, services.settings(), request, this);
        if (result.getOutcome() == ClaimResult.Outcome.RAN) {
            earlier.attach(result);
        } else {
            earlier.ask(result);
        }
    }

    @Override
    public void onEarlierNotRun(int number) {
        resolveNotRun(number);
        replaceAttempt(number);
    }

    @Override
    public void onEarlierOutcomeUnknown(int number) {
        completion.onEarlierAttemptOutcomeUnknown();
        services.metrics().retried("earlier-attempt-lost");
        replaceAttempt(number);
    }

    // ---- dispatch ----

    private void dispatch(EndpointCandidate candidate) {
        report.setTarget(candidate);
        Optional<ConnectedAgent> agent = finder.connected(candidate);
        if (agent.isEmpty() || !selection.isStillPermitted(candidate)) {
            onNotSent("the agent " + candidate.name() + " is not connected or its data center is excluded");
            return;
        }
        report.countAttempt();
        if (!completion.isClaimed()) {
            // An agent that has refused an attempt accepts only a higher attempt number.
            attempt = report.attempts();
        }
        dispatched = true;
        state = FlowState.SENT;
        report.latency().onSent(services.time().nanos());
        buffer.resetGrant();
        Dispatch.Builder dispatch = FlowMessages.dispatch(
                        request, services.settings().incarnation(), candidate)
                .setAttempt(attempt)
                .setClaimed(completion.isClaimed())
                .setGrantId(completion.grantId())
                .setDeadlineMs((int) Math.max(1, remainingTime().toMillis()))
                .setCredit(buffer.grant());
        if (assembler.length() > 0) {
            dispatch.setResumeText(assembler.text()).setResumeTokens(assembler.outputTokens());
        }
        call = AgentCall.open(
                agent.get().link(), agent.get().peer(), Frame.newBuilder().setDispatch(dispatch), mailbox, this);
    }

    @Override
    public void attach(ConnectedAgent agent) {
        state = FlowState.SENT;
        buffer.resetGrant();
        Attach.Builder attach = Attach.newBuilder()
                .setBudget(request.budget())
                .setRequestId(request.id())
                .setOffset(assembler.length())
                .setCredit(discarding ? StreamBuffer.MAX_WINDOW : buffer.grant());
        call = AgentCall.open(agent.link(), agent.peer(), Frame.newBuilder().setAttach(attach), mailbox, this);
        if (!dispatched) {
            // The run belongs to an earlier attempt, which has a separate reservation.
            completion.release();
        }
    }

    // ---- events of the agent ----

    @Override
    public void onFrame(AgentCall from, Frame frame) {
        if (!from.equals(call)) {
            return;
        }
        if (frame.hasChunk()) {
            onChunk(from, frame.getChunk());
        } else if (frame.hasFinished()) {
            onFinished(from, frame.getFinished());
        } else if (frame.hasRefused()) {
            onRefused(from, frame.getRefused());
        } else if (frame.hasError()) {
            Event.of("agent-error")
                    .with("request", request.id())
                    .with("type", frame.getError().getType())
                    .warn(LOG);
            onOutcomeUnknown(from, "agent-error");
        }
    }

    @Override
    public void onLost(AgentCall from, TransportException cause) {
        if (!from.equals(call)) {
            return;
        }
        if (from.isDispatch() && cause.kind() == TransportException.Kind.NOT_SENT) {
            endCall();
            onNotSent(Refusals.message(cause));
        } else {
            onOutcomeUnknown(from, "connection-lost");
        }
    }

    private void onChunk(AgentCall from, Chunk chunk) {
        stallTimeout.onProgress();
        report.latency().onChunk(services.time().nanos(), chunk.getOutputTokens());
        answer.acceptHead(chunk);
        try {
            assembler.accept(chunk);
        } catch (AnswerGapException | BufferOverflowException e) {
            Event.of("answer-chunk-invalid").with("request", request.id()).warn(LOG, e);
            onOutcomeUnknown(from, e.type());
            return;
        }
        if (discarding) {
            sendCredit(chunk.getData().size());
            return;
        }
        if (buffer.isFull()) {
            report.latency().onBackpressure();
        }
        answer.onDataBuffered();
        // Grants credit for the free part of the window. Buffered bytes are credited once the caller has read them.
        sendCredit(buffer.grant());
    }

    private void onRead() {
        if (discarding) {
            return;
        }
        stallTimeout.onProgress();
        buffer.widen();
        sendCredit(buffer.grant());
    }

    private void sendCredit(int bytes) {
        AgentCall c = call;
        if (bytes > 0 && c != null) {
            c.send(Frame.newBuilder().setCredit(Credit.newBuilder().setBytes(bytes)));
        }
    }

    private void onFinished(AgentCall from, Finished finished) {
        boolean complete = finished.getFailure().isEmpty();
        if (complete && finished.getLength() != assembler.length()) {
            onOutcomeUnknown(from, "answer-short");
            return;
        }
        endCall();
        if (complete) {
            onCompleteAnswer(finished);
        } else {
            onFailedRun(finished);
        }
    }

    private void onCompleteAnswer(Finished finished) {
        Usage usage = finished.getUsage();
        report.setTokens(usage.getTokens());
        services.chooser().onOutput(request.route().name(), request.budget().getAccount(), usage.getOutputTokens());
        answer.acceptHead(Chunk.newBuilder().setStatus(finished.getStatus()).build());
        if (dispatched) {
            if (state != FlowState.DRAINING) {
                report.recordEvidence(answer.status() < SERVER_ERROR);
            }
            if (answer.status() < CLIENT_ERROR) {
                services.suspects().onAnswered(request);
            }
            completion.settle(usage, assembler);
        }
        answer.finish(new AnswerSummary(usage.getPromptTokens(), usage.getOutputTokens(), finished.getTruncated()));
        finish();
    }

    private void onFailedRun(Finished finished) {
        RunOutcome run = RunOutcome.of(finished.getRun());
        RefusalReason reason = RefusalReason.ofCode(finished.getFailure()).orElse(RefusalReason.ENDPOINT_FAILED);
        Refusal refusal = new Refusal(
                reason, run, "the endpoint ended the request early: " + finished.getFailure(), Optional.empty());
        if (state == FlowState.DRAINING) {
            completion.onDrained(run);
            finish();
            return;
        }
        boolean crashesEndpoints = reason == RefusalReason.REQUEST_CRASHES_ENDPOINTS;
        if (dispatched && !crashesEndpoints) {
            report.recordEvidence(false);
        }
        if (!answer.isStarted() && answer.status() >= SERVER_ERROR) {
            assembler.reset();
            answer.reset();
        }
        if (run == RunOutcome.NOT_RUN && !crashesEndpoints) {
            retryOrRefuse(reason.code(), refusal);
        } else if (request.route().repeatable() && !crashesEndpoints) {
            resume(reason.code(), refusal);
        } else {
            fail(refusal);
        }
    }

    private void onRefused(AgentCall from, Refused refused) {
        endCall();
        Refusal refusal = Refusals.of(refused);
        RefusalReason reason = refusal.reason();
        RunOutcome run = refusal.run();
        from.link().onRefused(refusal);
        if (state == FlowState.DRAINING) {
            completion.onDrained(run);
            finish();
            return;
        }
        switch (RefusalRule.decide(reason, run)) {
            case ATTACH -> reattach(from);
            case TRY_ANOTHER -> retryOrRefuse(reason.code(), refusal);
            case UNCERTAIN -> {
                if (request.route().repeatable()) {
                    resume(reason.code(), refusal);
                } else {
                    fail(Refusals.unknownOutcome(refused.getDetail()));
                }
            }
            case FINAL -> {
                if (run == RunOutcome.NOT_RUN) {
                    refuseNotRun(refusal);
                } else {
                    fail(refusal);
                }
            }
        }
    }

    // ---- recovery ----

    /** Called when the dispatch did not reach an agent. */
    private void onNotSent(String detail) {
        retryOrRefuse("not-sent", Refusal.notRun(RefusalReason.NO_ENDPOINT, detail, RETRY_DELAY));
    }

    /** Retries after an attempt that is known not to have run. */
    private void retryOrRefuse(String reason, Refusal last) {
        excluded.add(report.endpoint());
        Optional<Duration> delay = services.retries().nextDelay(request.route().name(), ++retries, remainingTime());
        if (delay.isEmpty()) {
            refuseAfterRegisterCheck(last);
            return;
        }
        services.metrics().retried(reason);
        backOff(delay.get());
    }

    private void backOff(Duration delay) {
        if (completion.isClaimed()) {
            replacedAttempt = attempt;
        }
        state = FlowState.BACKING_OFF;
        schedule(delay, () -> {
            if (state == FlowState.BACKING_OFF) {
                selectEndpoint();
            }
        });
    }

    /** Called when the request was sent to an agent and its outcome is unknown. */
    private void onOutcomeUnknown(AgentCall from, String reason) {
        endCall();
        if (state == FlowState.DRAINING) {
            completion.hold();
            finish();
            return;
        }
        if (dispatched) {
            completion.onAttemptOutcomeUnknown();
        } else {
            completion.onEarlierAttemptOutcomeUnknown();
        }
        if (request.route().repeatable()) {
            awaitAgent(from, services.settings().reattachWait(), agent -> {
                if (agent == null) {
                    resume(reason, Refusal.unknown(RefusalReason.ENDPOINT_FAILED, "the agent was lost: " + reason));
                } else {
                    services.metrics().retried("reattach");
                    attach(agent);
                }
            });
        } else {
            awaitAgent(from, services.settings().queryWait(), agent -> {
                if (agent == null) {
                    fail(Refusals.unknownOutcome("the agent was lost: " + reason));
                } else {
                    reconcile(agent);
                }
            });
        }
    }

    /** Queries the agent whether a non-repeatable request has run. */
    private void reconcile(ConnectedAgent agent) {
        query(agent, attempt, action -> {
            switch (action) {
                case NOT_RUN -> {
                    completion.onProvedNotRun();
                    retryOrRefuse(
                            "proven-not-run",
                            Refusal.notRun(
                                    RefusalReason.NO_ENDPOINT, "the agent never received the request", RETRY_DELAY));
                }
                case ATTACH -> {
                    services.metrics().retried("reattach");
                    attach(agent);
                }
                case ANSWER_EXPIRED -> fail(Refusals.answerExpired());
                case UNKNOWN -> fail(Refusals.unknownOutcome("the agent cannot tell whether the request ran"));
            }
        });
    }

    private void reattach(AgentCall from) {
        awaitAgent(from, services.settings().queryWait(), agent -> {
            if (agent == null) {
                fail(Refusals.unknownOutcome("the agent was lost"));
            } else {
                attach(agent);
            }
        });
    }

    /** Resumes a repeatable request on another endpoint after the text that has arrived. */
    private void resume(String reason, Refusal last) {
        excluded.add(report.endpoint());
        completion.onAttemptOutcomeUnknown();
        if (!assembler.canResume()) {
            fail(last);
            return;
        }
        Optional<Duration> delay = services.retries().nextDelay(request.route().name(), ++retries, remainingTime());
        if (delay.isEmpty()) {
            fail(last);
            return;
        }
        services.metrics().retried(reason);
        backOff(delay.get());
    }

    private void awaitAgent(AgentCall from, Duration wait, AgentFinder.Callback callback) {
        awaitAgent(from.link().endpoint().name(), from.incarnation(), wait, callback);
    }

    private void awaitAgent(String agent, String incarnation, Duration wait, AgentFinder.Callback callback) {
        state = FlowState.RECOVERING;
        Duration bounded = wait.compareTo(remainingTime()) < 0 ? wait : remainingTime();
        finder.awaitIncarnation(agent, incarnation, bounded, callback);
    }

    private void query(ConnectedAgent agent, int ofAttempt, Consumer<QueryAction> callback) {
        finder.query(agent, request.budget(), request.id(), ofAttempt, callback);
    }

    // ---- completion ----

    /** Answers the caller because this host stops. A request that its agent runs continues there. */
    void interrupt() {
        if (!answer.isEnded()) {
            giveUp(
                    "host-stops",
                    Refusal.unknown(RefusalReason.OUTCOME_UNKNOWN, "this host stopped before the request had ended"),
                    Refusal.notRun(RefusalReason.STOPPING, "this host is stopping", RETRY_DELAY));
        }
    }

    private void onDeadline() {
        if (answer.isEnded()) {
            return;
        }
        if (answer.isStarted() && buffer.buffered() > 0 && !stallTimeout.isStalled()) {
            deadline = schedule(RETRY_DELAY, this::onDeadline);
            return;
        }
        if (state == FlowState.SENT && !answer.isStarted()) {
            report.recordEvidence(false);
        }
        giveUp(
                "deadline",
                Refusal.unknown(RefusalReason.ENDPOINT_TIMEOUT, "the deadline of the route has passed"),
                Refusal.notRun(RefusalReason.ENDPOINT_TIMEOUT, "the deadline passed before an endpoint was found"));
    }

    /** Answers the caller before the request has ended, with an unknown outcome if it was sent. */
    private void giveUp(String cause, Refusal unknown, Refusal notRun) {
        switch (state) {
            case SENT -> {
                cancelUnlessKeyed(cause);
                answer.fail(unknown);
                drain();
            }
            case RECOVERING -> fail(unknown);
            default -> refuseNotRun(notRun);
        }
    }

    private void cancelUnlessKeyed(String reason) {
        AgentCall c = call;
        if (c != null && !request.hasKey()) {
            c.send(Frame.newBuilder().setCancel(Cancel.newBuilder().setReason(reason)));
        }
    }

    /** Lets the agent finish, because its bill is needed and the caller of a request with a key may retry. */
    private void drain() {
        state = FlowState.DRAINING;
        discarding = true;
        assembler.startDiscarding();
        sendCredit(StreamBuffer.MAX_WINDOW);
        Duration wait =
                remainingTime().isNegative() ? DRAIN_GRACE : remainingTime().plus(DRAIN_GRACE);
        schedule(wait, () -> {
            if (state == FlowState.DRAINING) {
                completion.hold();
                finish();
            }
        });
    }

    /** Refuses a request that no attempt of this router has run. */
    private void refuseNotRun(Refusal refusal) {
        if (assembler.length() > 0) {
            fail(refusal);
        } else {
            completion.refuseNotRun(refusal);
            finish();
        }
    }

    /** Refuses the request without updating the register. */
    @Override
    public void refuse(Refusal refusal) {
        completion.refuse(refusal);
        finish();
    }

    private void fail(Refusal refusal) {
        completion.fail(refusal);
        finish();
    }

    private void resolveNotRun(int ofAttempt) {
        services.register().resolve(request.budget(), request.id(), ofAttempt, RunState.RUN_NOT_RUN);
    }

    private void finish() {
        if (state == FlowState.DONE) {
            return;
        }
        state = FlowState.DONE;
        endCall();
        Future<?> timer = deadline;
        if (timer != null) {
            timer.cancel(false);
        }
        report.log(completion.refusal(), answer.status());
        stallTimeout.start();
        reportDoneIfEnded();
    }

    /** Calls {@code onDone} once the request is settled and the exchange with the caller has ended. */
    private void reportDoneIfEnded() {
        if (state == FlowState.DONE && exchangeEnded && !doneReported) {
            doneReported = true;
            onDone.run();
        }
    }

    private void endCall() {
        AgentCall c = call;
        call = null;
        if (c != null) {
            c.end();
        }
    }

    private Duration remainingTime() {
        long elapsed = services.time().nanos() - startedAt;
        return request.route().deadline().minusNanos(elapsed);
    }

    private Future<?> schedule(Duration wait, Runnable task) {
        return services.timer()
                .schedule(() -> mailbox.execute(task), Math.max(0, wait.toMillis()), TimeUnit.MILLISECONDS);
    }
}
