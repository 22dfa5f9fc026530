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
 * One admitted request from its reservation to its final answer.
 *
 * <p>All methods run on the mailbox of the request. The caller gets exactly one final answer; the reservation is ended
 * exactly once, and only as "not run" if no agent can have run the request.
 */
final class RequestFlow implements AgentCall.Events, EarlierAttempt.Steps {
    private static final Logger LOG = LogManager.getLogger(RequestFlow.class);
    private static final Duration RETRY_SOON = Duration.ofSeconds(1);
    private static final int SERVER_ERROR = 500;
    private static final int MAX_CLAIMS = 8;
    // The agent ends a run at its deadline by itself; this covers its last messages.
    private static final Duration DRAIN_GRACE = Duration.ofSeconds(10);

    private final FlowServices services;
    private final AdmittedRequest request;
    private final Executor mailbox;
    private final Runnable onDone;
    private final long startedAt;
    private final StreamBuffer buffer;
    private final AnswerIntake intake;
    private final Answer answer;
    private final RequestEnding ending;
    private final AgentFinder finder;
    private final EndpointSelection selection;
    private final RequestReport report;
    private final StallWatch stalls;
    private final Set<String> excluded = new HashSet<>();
    private FlowState state = FlowState.RESERVING;
    private @Nullable Future<?> deadline;
    private @Nullable AgentCall call;
    private @Nullable Refusal early;
    private int attempt = 1;
    private int replaces;
    private int claims;
    private int tries;
    private boolean discarding;
    private boolean sent;
    private boolean callerGone;
    private boolean released;

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
        intake = AnswerIntake.of(request, buffer, services.settings().resumeBytes());
        answer = new Answer(
                request,
                response,
                buffer,
                () -> mailbox.execute(this::onRead),
                services.time().wallMillis());
        ending = new RequestEnding(services, request, answer);
        stalls = new StallWatch(services, mailbox, answer, () -> callerGone);
    }

    void start() {
        services.retries().onRequest(request.route().name());
        deadline = later(left(), this::onDeadline);
        if (!buffer.open()) {
            refuse(Refusal.notRun(RefusalReason.OVERLOADED, "no buffer is left for another answer", RETRY_SOON));
            return;
        }
        reserve();
    }

    /** The exchange with the caller has ended, well or not. */
    void onExchangeEnded() {
        callerGone = true;
        boolean unanswered = !answer.isOver();
        answer.abandon();
        intake.discard();
        switch (state) {
            case SENT -> {
                if (unanswered) {
                    // A keyed request goes on, since its caller may come back for the answer.
                    cancelUnlessKeyed("caller-gone");
                }
                drain();
            }
            case RESERVING, CLAIMING, BACKING_OFF -> {
                ending.abandon();
                done();
            }
            case RECOVERING -> {
                ending.hold();
                done();
            }
            case DRAINING, DONE -> end();
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
            ending.reserved(granted);
            early = null;
            choose();
        } else {
            refuseUnlessKnown(Refusals.ofFailure(failure));
        }
    }

    /** Refuses a request that has not run now. A keyed one may have run before, which the register tells. */
    private void refuseUnlessKnown(Refusal refusal) {
        if (request.keyed() && !ending.isClaimed() && early == null) {
            early = refusal;
            claim(null);
        } else {
            giveUp(refusal);
        }
    }

    private void choose() {
        if (!ending.hasReservation()) {
            // The first reservation was given back when the request was found to run already.
            reserve();
            return;
        }
        Optional<Refusal> suspect = services.suspects().check(request.digest());
        if (suspect.isPresent()) {
            refuseUnlessKnown(suspect.get());
            return;
        }
        Optional<EndpointCandidate> chosen = selection.select(intake.length() > 0, report.version(), excluded);
        if (chosen.isEmpty()) {
            retryOrRefuse(
                    "no-endpoint",
                    Refusal.notRun(
                            RefusalReason.NO_ENDPOINT,
                            "service " + request.service().name() + " has no endpoint that takes work",
                            RETRY_SOON));
        } else if (request.keyed()) {
            claim(chosen.get());
        } else {
            dispatch(chosen.get());
        }
    }

    // ---- register ----

    /** Claims the request id for an endpoint, or for none to learn what is known of an earlier attempt. */
    private void claim(@Nullable EndpointCandidate candidate) {
        state = FlowState.CLAIMING;
        claims++;
        Claim claim = FlowMessages.claim(request, services.settings().incarnation(), candidate, replaces);
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
        switch (ClaimRule.decide(result, request.route().repeatable())) {
            case DISPATCH -> onClaimed(candidate, result);
            case REPLACE -> replace(result.getAttempt());
            case ASK_AGENT, ATTACH -> askEarlier(result);
            case ANSWER_KEPT -> answerFromRegister(result);
            case REFUSE_REUSED ->
                refuse(Refusal.notRun(RefusalReason.ID_REUSED, "the id belongs to a request with other content"));
            case REFUSE_EXPIRED ->
                refuse(Refusal.unknown(RefusalReason.ID_EXPIRED, "the id is older than ids are remembered"));
            case REFUSE_FUTURE -> refuse(Refusal.notRun(RefusalReason.ID_IN_FUTURE, "the key's time is in the future"));
            case REFUSE_UNKNOWN -> refuse(Refusals.unknownOutcome("it is not known whether an earlier attempt ran"));
        }
    }

    private void onClaimed(@Nullable EndpointCandidate candidate, ClaimResult result) {
        ending.claimed(result.getAttempt());
        attempt = result.getAttempt();
        Refusal why = early;
        if (why != null) {
            giveUp(why);
        } else if (candidate != null) {
            dispatch(candidate);
        }
    }

    private void onRegisterUnreachable(@Nullable EndpointCandidate candidate, @Nullable Throwable failure) {
        Refusal why = early;
        if (why != null) {
            refuse(why);
        } else if (request.route().repeatable() && candidate != null) {
            // It may run twice, but it is billed once.
            dispatch(candidate);
        } else {
            refuse(Refusal.notRun(
                    RefusalReason.REGISTER_UNREACHABLE,
                    "the request id could not be claimed: " + Refusals.message(failure),
                    RETRY_SOON));
        }
    }

    /** Starts a new attempt after the one named, which did not run or may be repeated. */
    private void replace(int earlier) {
        Refusal why = early;
        if (why != null) {
            refuse(why);
        } else if (claims >= MAX_CLAIMS) {
            refuse(Refusal.notRun(
                    RefusalReason.REGISTER_UNREACHABLE, "other attempts of the request compete", RETRY_SOON));
        } else {
            replaces = earlier;
            choose();
        }
    }

    private void answerFromRegister(ClaimResult result) {
        ending.release();
        answer.head(Chunk.newBuilder()
                .setStatus(result.getStatus())
                .addHeaders(Answer.header("Content-Type", "application/json"))
                .build());
        if (!intake.acceptKept(result.getAnswer().toByteArray())) {
            refuse(new Refusal(
                    RefusalReason.OVERLOADED,
                    RunOutcome.RAN,
                    "no buffer is left for the answer",
                    Optional.of(RETRY_SOON)));
            return;
        }
        answer.advanced();
        answer.finish(new AnswerEnd(0, 0, false));
        done();
    }

    /** Finds out at the agent what became of an earlier attempt. */
    private void askEarlier(ClaimResult result) {
        if (intake.length() > 0) {
            // Another router has started the request anew; its answer need not have the same beginning.
            fail(Refusal.unknown(RefusalReason.ENDPOINT_FAILED, "the answer is continued by another attempt"));
            return;
        }
        replaces = result.getAttempt();
        state = FlowState.RECOVERING;
        EarlierAttempt earlier = new EarlierAttempt(finder, services.settings(), request, this);
        if (result.getOutcome() == ClaimResult.Outcome.RAN) {
            earlier.attach(result);
        } else {
            earlier.ask(result);
        }
    }

    @Override
    public void onEarlierNotRun(int number) {
        resolveNotRun(number);
        replace(number);
    }

    @Override
    public void onEarlierLost(int number) {
        ending.earlierAttemptUnknown();
        services.metrics().retried("earlier-attempt-lost");
        replace(number);
    }

    // ---- dispatch ----

    private void dispatch(EndpointCandidate candidate) {
        report.sentTo(candidate);
        Optional<ConnectedAgent> agent = finder.connected(candidate);
        if (agent.isEmpty()) {
            onNotSent("the agent " + candidate.name() + " is not connected");
            return;
        }
        report.attempted();
        if (!ending.isClaimed()) {
            // An agent that has refused an attempt takes only one with a higher number.
            attempt = report.attempts();
        }
        sent = true;
        state = FlowState.SENT;
        report.latency().sent(services.time().nanos());
        buffer.resetGrant();
        Dispatch.Builder dispatch = FlowMessages.dispatch(
                        request, services.settings().incarnation(), candidate)
                .setAttempt(attempt)
                .setClaimed(ending.isClaimed())
                .setGrantId(ending.grantId())
                .setDeadlineMs((int) Math.max(1, left().toMillis()))
                .setCredit(buffer.grant());
        if (intake.length() > 0) {
            dispatch.setResumeText(intake.text()).setResumeTokens(intake.outputTokens());
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
                .setOffset(intake.length())
                .setCredit(discarding ? StreamBuffer.MAX_WINDOW : buffer.grant());
        call = AgentCall.open(agent.link(), agent.peer(), Frame.newBuilder().setAttach(attach), mailbox, this);
        if (!sent) {
            // The run belongs to an earlier attempt, which has its own reservation.
            ending.release();
        }
    }

    // ---- events of the agent ----

    @Override
    public void onFrame(AgentCall from, Frame frame) {
        if (!isCurrent(from)) {
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
            onUncertain(from, "agent-error");
        }
    }

    @Override
    public void onLost(AgentCall from, TransportException cause) {
        if (!isCurrent(from)) {
            return;
        }
        if (from.isDispatch() && cause.kind() == TransportException.Kind.NOT_SENT) {
            endCall();
            onNotSent(Refusals.message(cause));
        } else {
            onUncertain(from, "connection-lost");
        }
    }

    private void onChunk(AgentCall from, Chunk chunk) {
        stalls.progress();
        report.latency().part(services.time().nanos(), chunk.getOutputTokens());
        answer.head(chunk);
        try {
            intake.accept(chunk);
        } catch (AnswerGapException | BufferOverflowException e) {
            Event.of("answer-chunk-invalid").with("request", request.id()).warn(LOG, e);
            onUncertain(from, e.type());
            return;
        }
        if (discarding) {
            credit(chunk.getData().size());
            return;
        }
        if (buffer.isFull()) {
            report.latency().heldUp();
        }
        answer.advanced();
        // What waits for a reader is credited when it is read; the rest of the window is granted as it becomes free.
        credit(buffer.grant());
    }

    private void onRead() {
        if (discarding) {
            return;
        }
        stalls.progress();
        buffer.widen();
        credit(buffer.grant());
    }

    private void credit(int bytes) {
        AgentCall c = call;
        if (bytes > 0 && c != null) {
            c.send(Frame.newBuilder().setCredit(Credit.newBuilder().setBytes(bytes)));
        }
    }

    private void onFinished(AgentCall from, Finished finished) {
        boolean whole = finished.getFailure().isEmpty();
        if (whole && finished.getLength() != intake.length()) {
            onUncertain(from, "answer-short");
            return;
        }
        endCall();
        if (whole) {
            onWhole(finished);
        } else {
            onFailedRun(finished);
        }
    }

    private void onWhole(Finished finished) {
        Usage usage = finished.getUsage();
        report.used(usage.getTokens());
        services.chooser().onOutput(request.route().name(), request.budget().getAccount(), usage.getOutputTokens());
        answer.head(Chunk.newBuilder().setStatus(finished.getStatus()).build());
        if (sent) {
            if (state != FlowState.DRAINING) {
                report.evidence(answer.status() < SERVER_ERROR);
            }
            ending.settle(usage, intake);
        }
        answer.finish(new AnswerEnd(usage.getPromptTokens(), usage.getOutputTokens(), finished.getTruncated()));
        done();
    }

    private void onFailedRun(Finished finished) {
        RunOutcome run = RunOutcome.of(finished.getRun());
        RefusalReason reason = RefusalReason.ofCode(finished.getFailure()).orElse(RefusalReason.ENDPOINT_FAILED);
        Refusal refusal =
                new Refusal(reason, run, "the endpoint ended early: " + finished.getFailure(), Optional.empty());
        if (state == FlowState.DRAINING) {
            ending.drained(run);
            done();
            return;
        }
        boolean fatal = reason == RefusalReason.REQUEST_CRASHES_ENDPOINTS;
        if (sent && !fatal) {
            report.evidence(false);
        }
        if (!answer.isStarted() && answer.status() >= SERVER_ERROR) {
            intake.restart();
            answer.restart();
        }
        if (run == RunOutcome.NOT_RUN && !fatal) {
            retryOrRefuse(reason.code(), refusal);
        } else if (request.route().repeatable() && !fatal) {
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
        if (reason == RefusalReason.LEAVING) {
            from.link().markLeaving();
        }
        if (state == FlowState.DRAINING) {
            ending.drained(run);
            done();
            return;
        }
        switch (RefusedRule.decide(reason, run)) {
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
                    giveUp(refusal);
                } else {
                    fail(refusal);
                }
            }
        }
    }

    // ---- recovery ----

    /** The dispatch never reached an agent. */
    private void onNotSent(String detail) {
        retryOrRefuse("not-sent", Refusal.notRun(RefusalReason.NO_ENDPOINT, detail, RETRY_SOON));
    }

    /** Tries again after an attempt that certainly did not run. */
    private void retryOrRefuse(String reason, Refusal last) {
        excluded.add(report.endpoint());
        Optional<Duration> pause = services.retries().next(request.route().name(), ++tries, left());
        if (pause.isEmpty()) {
            refuseUnlessKnown(last);
            return;
        }
        services.metrics().retried(reason);
        backOff(pause.get());
    }

    private void backOff(Duration pause) {
        if (ending.isClaimed()) {
            replaces = attempt;
        }
        state = FlowState.BACKING_OFF;
        later(pause, () -> {
            if (state == FlowState.BACKING_OFF) {
                choose();
            }
        });
    }

    /** The agent had the request, and what became of it is not known. */
    private void onUncertain(AgentCall from, String reason) {
        endCall();
        if (state == FlowState.DRAINING) {
            ending.hold();
            done();
            return;
        }
        if (sent) {
            ending.lostAttempt();
        } else {
            ending.earlierAttemptUnknown();
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

    /** Finds out whether a request that may run only once has run. */
    private void reconcile(ConnectedAgent agent) {
        query(agent, attempt, step -> {
            switch (step) {
                case NOT_RUN -> {
                    ending.provedNotRun();
                    retryOrRefuse(
                            "proven-not-run",
                            Refusal.notRun(RefusalReason.NO_ENDPOINT, "the agent never received it", RETRY_SOON));
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

    /** Continues a repeatable request on another endpoint from the text that has arrived. */
    private void resume(String reason, Refusal last) {
        excluded.add(report.endpoint());
        ending.lostAttempt();
        if (!intake.canResume()) {
            fail(last);
            return;
        }
        Optional<Duration> pause = services.retries().next(request.route().name(), ++tries, left());
        if (pause.isEmpty()) {
            fail(last);
            return;
        }
        services.metrics().retried(reason);
        backOff(pause.get());
    }

    private void awaitAgent(AgentCall from, Duration wait, AgentFinder.Found then) {
        awaitAgent(from.link().endpoint().name(), from.incarnation(), wait, then);
    }

    private void awaitAgent(String agent, String incarnation, Duration wait, AgentFinder.Found then) {
        state = FlowState.RECOVERING;
        Duration bounded = wait.compareTo(left()) < 0 ? wait : left();
        finder.await(agent, incarnation, bounded, then);
    }

    private void query(ConnectedAgent agent, int ofAttempt, Consumer<QueryStep> then) {
        finder.query(agent, request.budget(), request.id(), ofAttempt, then);
    }

    // ---- ends ----

    private void onDeadline() {
        if (answer.isOver()) {
            return;
        }
        if (answer.isStarted() && buffer.buffered() > 0 && !stalls.isStalled()) {
            deadline = later(RETRY_SOON, this::onDeadline);
            return;
        }
        if (state == FlowState.SENT) {
            if (!answer.isStarted()) {
                report.evidence(false);
            }
            cancelUnlessKeyed("deadline");
            answer.fail(Refusal.unknown(RefusalReason.ENDPOINT_TIMEOUT, "the deadline of the route has passed"));
            drain();
        } else if (state == FlowState.RECOVERING) {
            fail(Refusal.unknown(RefusalReason.ENDPOINT_TIMEOUT, "the deadline of the route has passed"));
        } else {
            giveUp(Refusal.notRun(RefusalReason.ENDPOINT_TIMEOUT, "the deadline passed before an endpoint was found"));
        }
    }

    private void cancelUnlessKeyed(String reason) {
        AgentCall c = call;
        if (c != null && !request.keyed()) {
            c.send(Frame.newBuilder().setCancel(Cancel.newBuilder().setReason(reason)));
        }
    }

    /** Lets the agent finish, because its bill is needed and a keyed caller may come back. */
    private void drain() {
        state = FlowState.DRAINING;
        discarding = true;
        intake.discard();
        credit(StreamBuffer.MAX_WINDOW);
        Duration wait = left().isNegative() ? DRAIN_GRACE : left().plus(DRAIN_GRACE);
        later(wait, () -> {
            if (state == FlowState.DRAINING) {
                ending.hold();
                done();
            }
        });
    }

    /** Ends a request of which no attempt of this router has run. */
    private void giveUp(Refusal refusal) {
        if (intake.length() > 0) {
            fail(refusal);
        } else {
            ending.notRun(refusal);
            done();
        }
    }

    /** Refuses without a change to the register. */
    @Override
    public void refuse(Refusal refusal) {
        ending.refuse(refusal);
        done();
    }

    private void fail(Refusal refusal) {
        ending.fail(refusal);
        done();
    }

    private void resolveNotRun(int ofAttempt) {
        services.register().resolve(request.budget(), request.id(), ofAttempt, RunState.RUN_NOT_RUN);
    }

    private void done() {
        if (state == FlowState.DONE) {
            return;
        }
        state = FlowState.DONE;
        endCall();
        Future<?> timer = deadline;
        if (timer != null) {
            timer.cancel(false);
        }
        report.log(ending.refusal(), answer.status());
        stalls.start();
        end();
    }

    /** The request leaves the router when its run is settled and its exchange with the caller has ended. */
    private void end() {
        if (state == FlowState.DONE && callerGone && !released) {
            released = true;
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

    private boolean isCurrent(AgentCall from) {
        return from.equals(call);
    }

    private Duration left() {
        long passed = services.time().nanos() - startedAt;
        return request.route().deadline().minusNanos(passed);
    }

    private Future<?> later(Duration wait, Runnable task) {
        return services.timer()
                .schedule(() -> mailbox.execute(task), Math.max(0, wait.toMillis()), TimeUnit.MILLISECONDS);
    }
}
