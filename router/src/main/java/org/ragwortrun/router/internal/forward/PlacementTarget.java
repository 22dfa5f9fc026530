package org.ragwortrun.router.internal.forward;

import java.util.List;
import org.ragwortrun.routing.EndpointPerformance;

/** An endpoint that may get a request, as {@link LearnedPlacement} considers it. */
public interface PlacementTarget {
    String id();

    EndpointPerformance performance();

    /** Returns the requests of this router that have not ended. */
    int inFlight();

    /** Returns the running and queued requests in a recent report, 0 if there is none. */
    int reported();

    /** Returns the requests that it can run at a time, 0 if unknown. */
    int slots();

    /** Returns the prompt tokens of this router's requests that it has not begun to answer. */
    long pendingTokens();

    /** Returns for how long this router's oldest request has had no answer, in nanoseconds. */
    long waitedNanos(long now);

    /** Returns the tokens at the start of a prompt that it probably has cached. */
    int cachedTokens(List<PromptPart> parts);

    /** Returns the tokens for which it has memory. */
    long freeTokens();

    boolean sameDataCenter();

    /** Returns whether it has started recently and is still slow. */
    boolean isCold(long now);
}
