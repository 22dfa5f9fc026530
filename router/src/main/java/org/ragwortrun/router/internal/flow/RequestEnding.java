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
 * Ends a request consistently: the answer to the caller, the reservation, the register entry and the bill.
 *
 * <p>A refusal says "not run" only if no attempt can have run. A reservation is released only then; it is held while an
 * agent may still bill it.
 */
final class RequestEnding {
    private final FlowServices services;
    private final AdmittedRequest request;
    private final Answer answer;
    private @Nullable Reservation reservation;
    private @Nullable Refusal refusal;
    private boolean claimed;
    private int attempt;
    private boolean mayHaveRun;
    private boolean mayBeBilled;

    RequestEnding(FlowServices services, AdmittedRequest request, Answer answer) {
        this.services = services;
        this.request = request;
        this.answer = answer;
    }

    void reserved(Reservation granted) {
        reservation = granted;
    }

    boolean hasReservation() {
        return reservation != null;
    }

    String grantId() {
        Reservation r = reservation;
        return r == null ? "" : r.grantId();
    }

    /** The register holds an attempt of this router. */
    void claimed(int number) {
        claimed = true;
        attempt = number;
    }

    boolean isClaimed() {
        return claimed;
    }

    /** An attempt was sent and its end was not seen: it may have run, and the reservation may be billed. */
    void lostAttempt() {
        mayHaveRun = true;
        mayBeBilled = true;
    }

    /** An earlier attempt with a reservation of its own may have run. */
    void earlierAttemptUnknown() {
        mayHaveRun = true;
    }

    /** The only attempt that was lost has been proved not to have run. */
    void provedNotRun() {
        mayHaveRun = false;
        mayBeBilled = false;
    }

    /** Returns the refusal that the caller got, if any. */
    @Nullable
    Refusal refusal() {
        return refusal;
    }

    /** Refuses a request of which this router's attempts did not run, and says so in the register. */
    void notRun(Refusal why) {
        resolve();
        refuse(why);
    }

    /** Refuses without a change to the register. */
    void refuse(Refusal why) {
        release();
        answer(mayHaveRun && why.run() == RunOutcome.NOT_RUN ? unknown(why) : why);
    }

    /** Ends a request that ran or may have run without a whole answer. */
    void fail(Refusal why) {
        hold();
        answer(why);
    }

    /** Ends a request whose caller has gone before it was sent. */
    void abandon() {
        answer.abandon();
        resolve();
        release();
    }

    /** Ends an attempt whose caller has had its final answer before. */
    void drained(RunOutcome run) {
        if (run == RunOutcome.NOT_RUN) {
            resolve();
            release();
        } else {
            hold();
        }
    }

    /** Reports the bill of a whole answer. */
    void settle(Usage usage, AnswerIntake intake) {
        Reservation r = reservation;
        reservation = null;
        if (!usage.hasBudget()) {
            if (r != null) {
                r.hold(request.id());
            }
            return;
        }
        services.settlements().add(request.route().repeatable() ? usage : withAnswer(usage, intake));
        if (r != null && mayBeBilled) {
            r.hold(request.id());
        } else if (r != null) {
            r.settle(usage.getTokens());
        }
    }

    /** Gives the reservation back, because the run belongs to an attempt that has its own. */
    void release() {
        Reservation r = reservation;
        reservation = null;
        if (r != null && mayBeBilled) {
            r.hold(request.id());
        } else if (r != null) {
            r.release();
        }
    }

    /** Keeps the reservation until the shard tells what was billed. */
    void hold() {
        Reservation r = reservation;
        reservation = null;
        if (r != null) {
            r.hold(request.id());
        }
    }

    /** Adds the answer that the register keeps, since the first report of a bill is the one that counts. */
    private static Usage withAnswer(Usage usage, AnswerIntake intake) {
        return intake.keepsText()
                ? usage.toBuilder()
                        .setAnswer(ByteString.copyFrom(intake.text(), StandardCharsets.UTF_8))
                        .build()
                : usage.toBuilder().setAnswerTruncated(true).build();
    }

    private void resolve() {
        if (claimed) {
            RunState run = mayHaveRun ? RunState.RUN_UNKNOWN : RunState.RUN_NOT_RUN;
            services.register().resolve(request.budget(), request.id(), attempt, run);
        }
    }

    private void answer(Refusal why) {
        if (!answer.isOver()) {
            refusal = why;
            services.metrics().refused(why.reason());
        }
        answer.fail(why);
    }

    private static Refusal unknown(Refusal why) {
        return new Refusal(why.reason(), RunOutcome.UNKNOWN, why.detail(), why.retryAfter());
    }
}
