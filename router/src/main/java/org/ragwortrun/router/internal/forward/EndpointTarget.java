package org.ragwortrun.router.internal.forward;

import java.util.List;
import org.ragwortrun.core.config.Origin;
import org.ragwortrun.routing.EndpointPerformance;

/**
 * State of an endpoint as it is considered for one request.
 *
 * @param dataCenter data center of this router
 * @param listAgeMs age of the list with the endpoint's report in milliseconds
 */
record EndpointTarget(EndpointState state, Origin origin, String dataCenter, long listAgeMs)
        implements PlacementTarget {
    // The list is about a second old when it is in use; after another second, most reported requests have ended.
    private static final long MAX_REPORT_AGE_MS = 2_000;

    @Override
    public String id() {
        return state.id();
    }

    @Override
    public EndpointPerformance performance() {
        return state.performance();
    }

    @Override
    public int inFlight() {
        return state.inFlight();
    }

    @Override
    public int reported() {
        return listAgeMs > MAX_REPORT_AGE_MS
                ? 0
                : state.listed().getRunning() + state.listed().getWaiting();
    }

    @Override
    public int slots() {
        return origin.slots() > 0 ? origin.slots() : state.listed().getSlots();
    }

    @Override
    public long pendingTokens() {
        return state.pendingTokens();
    }

    @Override
    public long waitedNanos(long now) {
        return state.longestWaitNanos(now);
    }

    @Override
    public int cachedTokens(List<PromptPart> parts) {
        return state.prefixCache().cachedTokens(parts);
    }

    @Override
    public long freeTokens() {
        long used = listAgeMs > MAX_REPORT_AGE_MS ? 0 : state.listed().getKvUsedTokens();
        return origin.kvCapacity() == 0 ? Long.MAX_VALUE : Math.max(0, origin.kvCapacity() - used);
    }

    @Override
    public boolean sameDataCenter() {
        return state.listed().getDataCenter().equals(dataCenter);
    }

    @Override
    public boolean isCold(long now) {
        return state.isCold(now);
    }
}
