package org.ragwortrun.agent.internal;

import com.google.protobuf.ByteString;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.jspecify.annotations.Nullable;
import org.ragwortrun.agent.AdmissionGate;
import org.ragwortrun.core.refusal.Refusal;
import org.ragwortrun.proto.Dispatch;
import org.ragwortrun.proto.Finished;
import org.ragwortrun.proto.Frame;
import org.ragwortrun.proto.Header;
import org.ragwortrun.proto.Refused;
import org.ragwortrun.proto.RunState;
import org.ragwortrun.proto.Usage;

/** One accepted attempt of a request, with its state, answer and token meter. */
final class AcceptedRequest {
    /**
     * State of an attempt.
     *
     * <p>A queued attempt may become running, refused or finished; a running one may become refused or finished.
     */
    enum State {
        QUEUED,
        RUNNING,
        FINISHED,
        REFUSED
    }

    private static final int MAX_REGISTER_ANSWER_BYTES = 8 << 10;

    private final RequestKey key;
    private final boolean text;
    private final long order;
    private final long deadlineNanos;
    private final long queueDeadlineNanos;
    private final Meter meter;
    private final AnswerBuffer answer = new AnswerBuffer();
    private final TokenMarks marks = new TokenMarks();
    private final List<AnswerSubscriber> subscribers = new ArrayList<>();
    private Dispatch dispatch;
    private State state = State.QUEUED;
    private AdmissionGate.@Nullable Permit permit;
    private @Nullable EndpointCall call;
    private int status;
    private List<Header> headers = List.of();
    private boolean truncated;
    private boolean sent;
    private long startedNanos;
    private Finished finished = Finished.getDefaultInstance();
    private Refused refused = Refused.getDefaultInstance();

    /**
     * Creates a queued request.
     *
     * @param text whether the answer is text that the agent extracts from the engine's events
     * @param order arrival order among requests of equal priority
     */
    AcceptedRequest(Dispatch dispatch, boolean text, long order, long deadlineNanos, long queueDeadlineNanos) {
        this.dispatch = dispatch;
        this.text = text;
        this.order = order;
        this.deadlineNanos = deadlineNanos;
        this.queueDeadlineNanos = queueDeadlineNanos;
        key = RequestKey.of(dispatch.getBudget(), dispatch.getRequestId());
        meter = new Meter(dispatch.getReserved(), dispatch.getMaxOutput(), dispatch.getResumeTokens());
        if (text) {
            answer.append(dispatch.getResumeText().getBytes(StandardCharsets.UTF_8));
        }
    }

    RequestKey key() {
        return key;
    }

    Dispatch dispatch() {
        return dispatch;
    }

    State state() {
        return state;
    }

    boolean isText() {
        return text;
    }

    long order() {
        return order;
    }

    long deadlineNanos() {
        return deadlineNanos;
    }

    long queueDeadlineNanos() {
        return queueDeadlineNanos;
    }

    AnswerBuffer answer() {
        return answer;
    }

    Meter meter() {
        return meter;
    }

    /** Returns the output tokens of the answer up to an offset. */
    long tokensBefore(long offset) {
        return offset >= answer.endOffset()
                ? meter.outputTokens()
                : marks.tokensBefore(offset, dispatch.getResumeTokens());
    }

    int status() {
        return status;
    }

    List<Header> headers() {
        return headers;
    }

    List<AnswerSubscriber> subscribers() {
        return subscribers;
    }

    Finished finished() {
        return finished;
    }

    Refused refusal() {
        return refused;
    }

    boolean isFinished() {
        return state == State.FINISHED;
    }

    boolean isEnded() {
        return state == State.FINISHED || state == State.REFUSED;
    }

    /** Returns the number of answer bytes not yet sent to the slowest subscriber, 0 if there are no subscribers. */
    long unsentBytes() {
        long max = 0;
        for (AnswerSubscriber o : subscribers) {
            max = Math.max(max, answer.endOffset() - o.nextOffset());
        }
        return max;
    }

    /** Returns the offset up to which the answer has been sent to every subscriber. */
    long deliveredOffset() {
        long min = answer.endOffset();
        for (AnswerSubscriber o : subscribers) {
            min = Math.min(min, o.nextOffset());
        }
        return min;
    }

    void start(AdmissionGate.Permit newPermit, EndpointCall newCall, long nowNanos) {
        requireState(State.QUEUED);
        state = State.RUNNING;
        startedNanos = nowNanos;
        permit = newPermit;
        call = newCall;
        // The endpoint client keeps its own reference to the body while it needs it.
        dispatch = dispatch.toBuilder().clearBody().build();
    }

    long startedNanos() {
        return startedNanos;
    }

    void markSent() {
        sent = true;
    }

    boolean hasOutput() {
        return meter.outputTokens() > 0;
    }

    boolean mayHaveRun() {
        return sent;
    }

    void setHead(int answerStatus, List<Header> answerHeaders) {
        status = answerStatus;
        headers = List.copyOf(answerHeaders);
    }

    /** Adds output to the answer, or returns false without adding it if the text exceeds the limits of the meter. */
    boolean addOutput(EndpointEvent.Output output) {
        requireState(State.RUNNING);
        if (text && output.metered()) {
            boolean within = meter.add(output.promptTokens(), output.outputTokens(), output.data().length > 0);
            boolean rejected = !within && output.data().length > 0;
            truncated = truncated || rejected || output.truncatedByEngine();
            if (rejected) {
                return false;
            }
            if (permit != null) {
                permit.updateOutputTokens(meter.outputTokens());
            }
        }
        answer.append(output.data());
        if (text) {
            marks.add(answer.endOffset(), meter.outputTokens());
        }
        return true;
    }

    void readMore() {
        if (call != null) {
            call.readMore();
        }
    }

    void cancelCall() {
        if (call != null) {
            call.cancel();
        }
    }

    /** Ends the request with an answer, which may be incomplete. */
    void finish(String failure, RunState run, Usage usage) {
        if (isEnded()) {
            throw new IllegalStateException("request is already " + state);
        }
        enterFinalState(State.FINISHED);
        answer.trim();
        finished = Finished.newBuilder()
                .setUsage(usage.toBuilder().clearAnswer())
                .setStatus(status)
                .setLength(answer.endOffset())
                .setFailure(failure)
                .setRun(run)
                .setTruncated(truncated)
                .build();
    }

    /** Ends a request that did not run. */
    void refuse(Refusal refusal) {
        if (isEnded()) {
            throw new IllegalStateException("request is already " + state);
        }
        enterFinalState(State.REFUSED);
        refused = Refusals.toWire(refusal);
        subscribers.forEach(o -> o.send(Frame.newBuilder().setRefused(refused)));
        subscribers.forEach(AnswerSubscriber::close);
    }

    void sendFinished(AnswerSubscriber subscriber) {
        subscriber.send(Frame.newBuilder().setFinished(finished));
    }

    /** Adds the start of the answer, for the request register, to the usage of a request that is not repeatable. */
    Usage.Builder withAnswer(Usage.Builder usage) {
        if (dispatch.getRepeatable() || answer.startOffset() > 0) {
            return usage;
        }
        int count = Math.min(answer.length(), MAX_REGISTER_ANSWER_BYTES);
        ByteString start = answer.slice(0, count);
        return usage.setAnswer(start).setAnswerTruncated(count < answer.length());
    }

    private void enterFinalState(State next) {
        state = next;
        call = null;
        if (permit != null) {
            permit.release();
            permit = null;
        }
    }

    private void requireState(State expected) {
        if (state != expected) {
            throw new IllegalStateException("request is " + state + ", not " + expected);
        }
    }
}
