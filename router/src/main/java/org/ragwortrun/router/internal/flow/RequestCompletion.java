package org.ragwortrun.router.internal.flow;

import com.google.protobuf.ByteString;
import java.nio.charset.StandardCharsets;
import org.jspecify.annotations.Nullable;
import org.ragwortrun.core.refusal.Refusal;
import org.ragwortrun.core.refusal.RunOutcome;
import org.ragwortrun.proto.RunState;
import org.ragwortrun.proto.Usage;
import org.ragwortrun.router.internal.ledger.Reservation;
import org.ragwortrun.router.internal.request.AdmittedRequest;

/**
 * Completes a request, keeping the answer to the caller, the reservation, the register entry and the bill consistent.
 *
 * <p>A refusal states "not run" only if no attempt can have run. A reservation is held, not released, while an agent may
 * still bill it.
 */
final class RequestCompletion {
    private final FlowServices services;
    private final AdmittedRequest request;
    private final Answer answer;
    private @Nullable Reservation reservation;
    private @Nullable Refusal refusal;
    private boolean claimed;
    private int attempt;
    private boolean mayHaveRun;
    private boolean mayBeBilled;

    RequestCompletion(FlowServices services, AdmittedRequest request, Answer answer) {
        this.services = services;
        this.request = request;
        this.answer = answer;
    }

    void setReservation(Reservation granted) {
        reservation = granted;
    }

    boolean hasReservation() {
        return reservation != null;
    }

    String grantId() {
        Reservation r = reservation;
        return r == null ? "" : r.grantId();
    }

    /** Called when the register has recorded an attempt of this router. */
    void onClaimed(int number) {
        claimed = true;
        attempt = number;
    }

    boolean isClaimed() {
        return claimed;
    }

    /** Called when the outcome of a sent attempt is unknown: it may have run and may bill the reservation. */
    void onAttemptOutcomeUnknown() {
        mayHaveRun = true;
        mayBeBilled = true;
    }

    /** Called when an earlier attempt, which has a separate reservation, may have run. */
    void onEarlierAttemptOutcomeUnknown() {
        mayHaveRun = true;
    }

    /** Called when the only attempt of unknown outcome is proved not to have run. */
    void onProvedNotRun() {
        mayHaveRun = false;
        mayBeBilled = false;
    }

    /** Returns the refusal that was sent to the caller, or null if there is none. */
    @Nullable
    Refusal refusal() {
        return refusal;
    }

    /** Refuses a request and resolves its claim in the register as not run, or as unknown if an attempt may have run. */
    void refuseNotRun(Refusal cause) {
        resolveInRegister();
        refuse(cause);
    }

    /** Refuses a request without updating the register. */
    void refuse(Refusal cause) {
        release();
        failAnswer(mayHaveRun && cause.run() == RunOutcome.NOT_RUN ? unknown(cause) : cause);
    }

    /** Fails a request that ran or may have run but has no complete answer. */
    void fail(Refusal cause) {
        hold();
        failAnswer(cause);
    }

    /** Ends a request whose caller disconnected before the request was sent to an agent. */
    void abandon() {
        answer.abandon();
        resolveInRegister();
        release();
    }

    /** Called when an attempt ends after the answer to the caller has ended. */
    void onDrained(RunOutcome run) {
        if (run == RunOutcome.NOT_RUN) {
            resolveInRegister();
            release();
        } else {
            hold();
        }
    }

    /** Reports the bill of a complete answer. */
    void settle(Usage usage, AnswerAssembler assembler) {
        Reservation r = reservation;
        reservation = null;
        if (!usage.hasBudget()) {
            if (r != null) {
                r.hold(request.id());
            }
            return;
        }
        services.settlements().add(request.route().repeatable() ? usage : withAnswer(usage, assembler));
        if (r != null && mayBeBilled) {
            r.hold(request.id());
        } else if (r != null) {
            r.settle(usage.getTokens());
        }
    }

    /** Releases the reservation, or holds it if an attempt may still bill it. */
    void release() {
        Reservation r = reservation;
        reservation = null;
        if (r != null && mayBeBilled) {
            r.hold(request.id());
        } else if (r != null) {
            r.release();
        }
    }

    /** Holds the reservation until the shard reports what was billed. */
    void hold() {
        Reservation r = reservation;
        reservation = null;
        if (r != null) {
            r.hold(request.id());
        }
    }

    /** Adds the answer for the register to store, because only the first report of a bill takes effect. */
    private static Usage withAnswer(Usage usage, AnswerAssembler assembler) {
        return assembler.hasCompleteText()
                ? usage.toBuilder()
                        .setAnswer(ByteString.copyFrom(assembler.text(), StandardCharsets.UTF_8))
                        .build()
                : usage.toBuilder().setAnswerTruncated(true).build();
    }

    private void resolveInRegister() {
        if (claimed) {
            RunState run = mayHaveRun ? RunState.RUN_UNKNOWN : RunState.RUN_NOT_RUN;
            services.register().resolve(request.budget(), request.id(), attempt, run);
        }
    }

    private void failAnswer(Refusal cause) {
        if (!answer.isEnded()) {
            refusal = cause;
            services.metrics().refused(cause.reason());
        }
        answer.fail(cause);
    }

    private static Refusal unknown(Refusal cause) {
        return new Refusal(cause.reason(), RunOutcome.UNKNOWN, cause.detail(), cause.retryAfter());
    }
}
