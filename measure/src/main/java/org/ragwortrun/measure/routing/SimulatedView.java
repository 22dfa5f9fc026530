package org.ragwortrun.measure.routing;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.ragwortrun.router.internal.forward.PlacementTarget;
import org.ragwortrun.router.internal.forward.PromptPart;
import org.ragwortrun.routing.EndpointPerformance;

/** What one router knows of one endpoint. */
final class SimulatedView implements PlacementTarget {
    private static final int MAX_PARTS = 1_000;

    private final int number;
    private final String id;
    private final RoutingLoad load;
    private final boolean sameDataCenter;
    private final Map<Object, Long> unanswered = new LinkedHashMap<>();
    private final Map<String, Boolean> sentParts = new LinkedHashMap<>(16, 0.75f, true);
    private EndpointPerformance performance = new EndpointPerformance(0);
    private int inFlight;
    private long pendingTokens;

    SimulatedView(int number, RoutingLoad load, boolean sameDataCenter) {
        this.number = number;
        id = "endpoint-" + number;
        this.load = load;
        this.sameDataCenter = sameDataCenter;
    }

    int number() {
        return number;
    }

    /** Records that a request is sent. Returns its tokens that were not sent to the endpoint before. */
    int onSent(Object request, List<PromptPart> parts, long now) {
        int uncached = -cachedTokens(parts);
        for (PromptPart p : parts) {
            uncached += p.tokens();
            sentParts.put(p.id(), true);
        }
        while (sentParts.size() > MAX_PARTS) {
            sentParts.remove(sentParts.keySet().iterator().next());
        }
        unanswered.put(request, now);
        inFlight++;
        pendingTokens += uncached;
        return uncached;
    }

    void onAnswerBegun(Object request, int uncached) {
        if (unanswered.remove(request) != null) {
            pendingTokens -= uncached;
        }
    }

    void onEnded() {
        inFlight--;
    }

    void onNewIncarnation(long now) {
        performance = new EndpointPerformance(now);
        sentParts.clear();
    }

    @Override
    public String id() {
        return id;
    }

    @Override
    public EndpointPerformance performance() {
        return performance;
    }

    @Override
    public int inFlight() {
        return inFlight;
    }

    @Override
    public int reported() {
        return 0;
    }

    @Override
    public int slots() {
        return load.slots();
    }

    @Override
    public long pendingTokens() {
        return pendingTokens;
    }

    @Override
    public long waitedNanos(long now) {
        return unanswered.isEmpty() ? 0 : now - unanswered.values().iterator().next();
    }

    @Override
    public int cachedTokens(List<PromptPart> parts) {
        int cached = 0;
        for (PromptPart p : parts) {
            if (!sentParts.containsKey(p.id())) {
                break;
            }
            cached += p.tokens();
        }
        return cached;
    }

    @Override
    public long freeTokens() {
        return load.kvTokens().get(number);
    }

    @Override
    public boolean sameDataCenter() {
        return sameDataCenter;
    }

    @Override
    public boolean isCold(long now) {
        return false;
    }
}
