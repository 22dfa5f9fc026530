package org.ragwortrun.router.internal.forward;

import java.time.Duration;
import java.util.OptionalLong;
import org.jspecify.annotations.Nullable;
import org.ragwortrun.core.config.Account;
import org.ragwortrun.core.log.Event;
import org.ragwortrun.core.refusal.RefusalReason;
import org.ragwortrun.routing.AdmissionQueue.Entry;

/** One request as the scheduler of its router sees it. Used on the event loop only. */
final class RequestWait {
    private final RequestScheduler scheduler;
    private final Admitted admitted;
    private final String target;
    private final long bytes;
    private final long deadlineNanos;
    private final Sender sender;
    private final boolean returning;
    private @Nullable Entry<RequestWait> entry;
    private long waitedNanos;
    private OptionalLong giveUpNanos = OptionalLong.empty();
    private int entered;
    private int ahead;
    private double perSecond;

    /** Sends a request that has waited, or gives it up. */
    interface Sender {
        /** Selects an endpoint among those that may get the request now. */
        EndpointSelector.Choice choose();

        /** Sends the request, which no longer waits. */
        void sendAfterWait(EndpointState endpoint, boolean lastResort);

        /** Gives up the request, which no longer waits. */
        void giveUp(RefusalReason reason, String cause, Duration retryAfter);
    }

    RequestWait(
            RequestScheduler scheduler,
            Admitted admitted,
            CallerRequest request,
            long bytes,
            long deadlineNanos,
            Sender sender) {
        this.scheduler = scheduler;
        this.admitted = admitted;
        target = request.target();
        this.bytes = bytes;
        this.deadlineNanos = deadlineNanos;
        this.sender = sender;
        returning = scheduler.isReturning(account(), target);
    }

    boolean isEnabled() {
        return scheduler.isEnabled();
    }

    /** Returns whether requests that arrived earlier wait for the same endpoints. */
    boolean mustQueue() {
        return entered == 0 && scheduler.hasWaiting(admitted.origin().name());
    }

    /**
     * Returns whether an endpoint may become available while the request waits.
     *
     * @param wasRejected whether an endpoint that may be tried again has rejected the request as full
     */
    boolean canWait(EndpointSelector.Choice choice, boolean wasRejected) {
        return isEnabled() && (wasRejected || scheduler.mayHaveRoomInTime(this, choice));
    }

    /** Queues the request, or gives it up at once if it would wait for too long. */
    void begin(String cause) {
        scheduler.enqueue(this, cause);
    }

    /** Removes the request from the queue because its exchange has ended. */
    void leave() {
        scheduler.remove(this);
    }

    /** Returns when the caller of a request that is given up should retry. */
    Duration retryAfter(String cause) {
        return isEnabled() && ExchangeRefusals.reason(cause) == RefusalReason.ENDPOINT_FULL
                ? scheduler.retryAfter(this)
                : ExchangeRefusals.RETRY_AFTER;
    }

    /** Returns the part of a time to retry that callers honor, which is a third of what remains to them. */
    Duration atMostHonored(Duration after) {
        return isEnabled() ? scheduler.atMostHonored(this, after) : after;
    }

    /** Adds how long the request has waited, and what the last decision about it was based on. */
    Event addTo(Event line) {
        return !isEnabled() || entered == 0 && perSecond == 0
                ? line
                : line.with("waited-ms", waitedNanos / 1_000_000)
                        .with("ahead", ahead)
                        .with("drain-per-s", Math.round(perSecond));
    }

    String account() {
        return admitted.account().map(Account::name).orElse("");
    }

    Admitted admitted() {
        return admitted;
    }

    String target() {
        return target;
    }

    long bytes() {
        return bytes;
    }

    long deadlineNanos() {
        return deadlineNanos;
    }

    Sender sender() {
        return sender;
    }

    /** Returns whether the request goes before new ones, because its caller returns or it has been in its turn. */
    boolean goesFirst() {
        return returning || entered > 0;
    }

    @Nullable
    Entry<RequestWait> entry() {
        return entry;
    }

    /** Returns whether the request has waited before and may wait no longer. */
    boolean isOverdue(long now) {
        return giveUpNanos.isPresent() && giveUpNanos.getAsLong() - now <= 0;
    }

    /**
     * Returns the time from which the request may not be sent. If it waits repeatedly, the time of its first wait remains
     * valid, so that the time for which it holds tokens is bounded.
     */
    long latestStart(long proposed) {
        long first = giveUpNanos.orElse(proposed);
        giveUpNanos = OptionalLong.of(first);
        return first - proposed < 0 ? first : proposed;
    }

    /** Records the state of the queue on which a decision is based. */
    void onDecision(int waitingAhead, double drainPerSecond) {
        ahead = waitingAhead;
        perSecond = drainPerSecond;
    }

    void onEntered(Entry<RequestWait> e) {
        entry = e;
        entered++;
    }

    void onLeft(long now) {
        Entry<RequestWait> e = entry;
        if (e != null) {
            waitedNanos += now - e.enteredNanos();
            entry = null;
        }
    }
}
