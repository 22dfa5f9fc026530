package org.ragwortrun.standins;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * Faults and delays that a stand-in adds to its answers. Set from code or with {@code POST /standin/behaviour}.
 *
 * @param failPermille share of requests, in permille, that are answered with status 500
 * @param extraMs time added before the first byte of an answer
 * @param tokenMs time between tokens, -1 for the stand-in's own setting
 * @param onlyRoute route to which the faults are limited, by header {@code X-Route} or path prefix; empty for all
 * @param afterRequests number of requests that are served without faults first
 * @param aboveRunning number of running requests from which on the faults apply
 */
public record Behaviour(
        int failPermille, int extraMs, int tokenMs, String onlyRoute, int afterRequests, int aboveRunning) {

    /** Serves every request without faults. */
    public static final Behaviour NO_FAULTS = new Behaviour(0, 0, -1, "", 0, 0);

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

    /** Returns whether the faults apply to a request. */
    boolean appliesTo(String route, String path, long served, int running) {
        boolean routeMatches = onlyRoute.isEmpty() || onlyRoute.equals(route) || path.startsWith(onlyRoute);
        return routeMatches && served >= afterRequests && running >= aboveRunning;
    }

    /** Returns whether a request fails. Failures are spread evenly by request number, so that runs are repeatable. */
    boolean fails(long served) {
        return (served * 377) % ALL_PERMILLE < failPermille;
    }
}
