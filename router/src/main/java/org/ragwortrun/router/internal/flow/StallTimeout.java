package org.ragwortrun.router.internal.flow;

import java.time.Duration;
import java.util.concurrent.Executor;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;

/** Closes the connection of a caller that has stopped reading its finished answer. */
final class StallTimeout {
    private final FlowServices services;
    private final Executor mailbox;
    private final Answer answer;
    private final BooleanSupplier exchangeEnded;
    private long lastProgressAt;

    StallTimeout(FlowServices services, Executor mailbox, Answer answer, BooleanSupplier exchangeEnded) {
        this.services = services;
        this.mailbox = mailbox;
        this.answer = answer;
        this.exchangeEnded = exchangeEnded;
        onProgress();
    }

    /** Called when a part of the answer has arrived or has been read. */
    void onProgress() {
        lastProgressAt = services.time().nanos();
    }

    boolean isStalled() {
        return remaining().isNegative();
    }

    /** Starts the timeout. */
    void start() {
        if (exchangeEnded.getAsBoolean()) {
            return;
        }
        Duration remaining = remaining();
        if (remaining.isNegative()) {
            answer.abort();
            return;
        }
        services.timer().schedule(() -> mailbox.execute(this::start), remaining.toMillis() + 1, TimeUnit.MILLISECONDS);
    }

    private Duration remaining() {
        return services.settings().stallTimeout().minusNanos(services.time().nanos() - lastProgressAt);
    }
}
