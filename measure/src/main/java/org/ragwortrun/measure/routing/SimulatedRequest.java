package org.ragwortrun.measure.routing;

import java.util.List;
import org.ragwortrun.router.internal.forward.PromptPart;

/**
 * One request of a load.
 *
 * @param parts parts of its prompt
 * @param maxTokens tokens of memory that it occupies
 * @param events events of its answer
 * @param size work relative to the mean, for services that are not models
 * @param listener receives its answer
 */
record SimulatedRequest(List<PromptPart> parts, long maxTokens, int events, double size, Listener listener) {
    /** Number of events after which the gap between events is known. */
    static final int GAP_EVENTS = 4;

    /** Receives an answer. */
    interface Listener {
        void onFirstEvent();

        void onGap(double gapMs);

        void onEnd();
    }

    SimulatedRequest with(Listener next) {
        return new SimulatedRequest(parts, maxTokens, events, size, next);
    }
}
