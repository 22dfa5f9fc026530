package org.ragwortrun.agent.internal;

import java.time.Duration;
import org.ragwortrun.core.refusal.Refusal;
import org.ragwortrun.proto.Refused;

/** Converts refusals to messages. */
final class Refusals {
    private Refusals() {}

    static Refused toWire(Refusal refusal) {
        return Refused.newBuilder()
                .setReason(refusal.reason().code())
                .setRun(refusal.run().wire())
                .setRetryAfterMs((int)
                        refusal.retryAfter().map(Duration::toMillis).orElse(0L).longValue())
                .setDetail(refusal.detail())
                .build();
    }
}
