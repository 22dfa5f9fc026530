package org.ragwortrun.standins;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * How well a stand-in serves. Settable in process and with {@code POST /standin/behaviour}.
 *
 * @param failPermille share of requests that are answered with status 500
 * @param extraMs time added before the first byte of an answer
 * @param tokenMs time between tokens, -1 for the stand-in's own setting
 * @param onlyRoute route to which the faults are limited, by header {@code X-Route} or path prefix; empty for all
 * @param afterRequests requests that are served well before the faults start
 * @param aboveRunning number of running requests above which the faults show
 */
public record Behaviour(
        int failPermille, int extraMs, int tokenMs, String onlyRoute, int afterRequests, int aboveRunning) {

    /** Serves every request well. */
    public static final Behaviour GOOD = new Behaviour(0, 0, -1, "", 0, 0);

    private static final int ALL_PERMILLE = 1000;

    public static Behaviour failing(int permille) {
        return new Behaviour(permille, 0, -1, "", 0, 0);
    }

    public static Behaviour slow(int extraMs, int tokenMs) {
        return new Behaviour(0, extraMs, tokenMs, "", 0, 0);
    }

    /** Limits the faults to one route. */
    public Behaviour onRoute(String route) {
        return new Behaviour(failPermille, extraMs, tokenMs, route, afterRequests, aboveRunning);
    }

    static Behaviour of(JsonNode json) {
        return new Behaviour(
                json.path("fail_permille").asInt(0),
                json.path("extra_ms").asInt(0),
                json.path("token_ms").asInt(-1),
                json.path("only_route").asText(""),
                json.path("after_requests").asInt(0),
                json.path("above_running").asInt(0));
    }

    /** Tells whether the faults show in a request. */
    boolean shows(String route, String path, long served, int running) {
        boolean routeMatches = onlyRoute.isEmpty() || onlyRoute.equals(route) || path.startsWith(onlyRoute);
        return routeMatches && served >= afterRequests && running >= aboveRunning;
    }

    /** Spreads the failures evenly over the requests, so that a run is repeatable. */
    boolean fails(long served) {
        return (served * 377) % ALL_PERMILLE < failPermille;
    }
}
