package org.ragwortrun.router.internal.flow;

import java.time.Duration;
import java.util.concurrent.Executor;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;

/** Closes the connection of a caller that has stopped to read its finished answer. */
final class StallWatch {
    private final FlowServices services;
    private final Executor mailbox;
    private final Answer answer;
    private final BooleanSupplier gone;
    private long lastProgressAt;

    StallWatch(FlowServices services, Executor mailbox, Answer answer, BooleanSupplier gone) {
        this.services = services;
        this.mailbox = mailbox;
        this.answer = answer;
        this.gone = gone;
        progress();
    }

    /** A part of the answer has arrived or has been read. */
    void progress() {
        lastProgressAt = services.time().nanos();
    }

    boolean isStalled() {
        return rest().isNegative();
    }

    /** Starts to watch. */
    void start() {
        if (gone.getAsBoolean()) {
            return;
        }
        Duration rest = rest();
        if (rest.isNegative()) {
            answer.abort();
            return;
        }
        services.timer().schedule(() -> mailbox.execute(this::start), rest.toMillis() + 1, TimeUnit.MILLISECONDS);
    }

    private Duration rest() {
        return services.settings().stallTimeout().minusNanos(services.time().nanos() - lastProgressAt);
    }
}
