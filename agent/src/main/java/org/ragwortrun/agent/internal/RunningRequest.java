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

/** One accepted attempt of a request: its state, its answer and its meter. */
final class RunningRequest {
    /** Only the transitions queued to running, refused or finished, and running to refused or finished, exist. */
    enum State {
        QUEUED,
        RUNNING,
        FINISHED,
        REFUSED
    }

    private static final int REGISTER_ANSWER_BYTES = 8 << 10;

    private final RequestKey key;
    private final boolean text;
    private final long order;
    private final long deadlineNanos;
    private final long queuedUntilNanos;
    private final Meter meter;
    private final AnswerBuffer answer = new AnswerBuffer();
    private final TokenMarks marks = new TokenMarks();
    private final List<AnswerSubscriber> answerReaders = new ArrayList<>();
    private Dispatch dispatch;
    private State state = State.QUEUED;
    private AdmissionGate.@Nullable Place place;
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
     * @param text whether the answer is text that the agent took out of the engine's events
     * @param order arrival order among requests of equal priority
     */
    RunningRequest(Dispatch dispatch, boolean text, long order, long deadlineNanos, long queuedUntilNanos) {
        this.dispatch = dispatch;
        this.text = text;
        this.order = order;
        this.deadlineNanos = deadlineNanos;
        this.queuedUntilNanos = queuedUntilNanos;
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

    long queuedUntilNanos() {
        return queuedUntilNanos;
    }

    AnswerBuffer answer() {
        return answer;
    }

    Meter meter() {
        return meter;
    }

    /** Returns the output tokens of the answer up to an offset. */
    long tokensBefore(long offset) {
        return offset >= answer.end() ? meter.outputTokens() : marks.before(offset, dispatch.getResumeTokens());
    }

    int status() {
        return status;
    }

    List<Header> headers() {
        return headers;
    }

    List<AnswerSubscriber> answerReaders() {
        return answerReaders;
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

    boolean isOver() {
        return state == State.FINISHED || state == State.REFUSED;
    }

    /** Returns the answer's bytes that the slowest reader has not received; 0 without readers. */
    long unsent() {
        long max = 0;
        for (AnswerSubscriber o : answerReaders) {
            max = Math.max(max, answer.end() - o.next());
        }
        return max;
    }

    /** Returns the offset up to which every reader has the answer. */
    long delivered() {
        long min = answer.end();
        for (AnswerSubscriber o : answerReaders) {
            min = Math.min(min, o.next());
        }
        return min;
    }

    void start(AdmissionGate.Place given, EndpointCall started, long nowNanos) {
        require(State.QUEUED);
        state = State.RUNNING;
        startedNanos = nowNanos;
        place = given;
        call = started;
        // The endpoint's client holds the body as long as it needs it.
        dispatch = dispatch.toBuilder().clearBody().build();
    }

    long startedNanos() {
        return startedNanos;
    }

    void bytesSent() {
        sent = true;
    }

    boolean mayHaveRun() {
        return sent;
    }

    void head(int answerStatus, List<Header> answerHeaders) {
        status = answerStatus;
        headers = List.copyOf(answerHeaders);
    }

    /** Adds output of the engine and returns false if it passes the reservation and was left out. */
    boolean output(EndpointEvent.Output output) {
        require(State.RUNNING);
        if (text && output.metered()) {
            boolean within = meter.add(output.promptTokens(), output.outputTokens(), output.data().length > 0);
            boolean left = !within && output.data().length > 0;
            truncated = truncated || left || output.cutByEngine();
            if (left) {
                return false;
            }
            if (place != null) {
                place.grown(meter.outputTokens());
            }
        }
        answer.append(output.data());
        if (text) {
            marks.add(answer.end(), meter.outputTokens());
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
        if (isOver()) {
            throw new IllegalStateException("request is already " + state);
        }
        leave(State.FINISHED);
        answer.trim();
        finished = Finished.newBuilder()
                .setUsage(usage.toBuilder().clearAnswer())
                .setStatus(status)
                .setLength(answer.end())
                .setFailure(failure)
                .setRun(run)
                .setTruncated(truncated)
                .build();
    }

    /** Ends a request that did not run. */
    void refuse(Refusal refusal) {
        if (isOver()) {
            throw new IllegalStateException("request is already " + state);
        }
        leave(State.REFUSED);
        refused = Refusals.toWire(refusal);
        answerReaders.forEach(o -> o.send(Frame.newBuilder().setRefused(refused)));
        answerReaders.forEach(AnswerSubscriber::close);
    }

    void finishOutlet(AnswerSubscriber reader) {
        reader.send(Frame.newBuilder().setFinished(finished));
    }

    /** Returns the start of the answer for the request register, if the request may not be repeated. */
    Usage.Builder withAnswer(Usage.Builder usage) {
        if (dispatch.getRepeatable() || answer.floor() > 0) {
            return usage;
        }
        int count = Math.min(answer.kept(), REGISTER_ANSWER_BYTES);
        ByteString start = answer.slice(0, count);
        return usage.setAnswer(start).setAnswerTruncated(count < answer.kept());
    }

    private void leave(State next) {
        state = next;
        call = null;
        if (place != null) {
            place.release();
            place = null;
        }
    }

    private void require(State expected) {
        if (state != expected) {
            throw new IllegalStateException("request is " + state + ", not " + expected);
        }
    }
}
