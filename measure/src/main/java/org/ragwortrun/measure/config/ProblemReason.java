package org.ragwortrun.measure.config;

import java.util.Set;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Reads the reason of a refusal from its document. */
final class ProblemReason {
    // The routes lead to an origin without endpoints, which only a router answers that knows them.
    private static final Set<String> KNOWS_ROUTE = Set.of("no-endpoint", "endpoint-full");
    private static final Pattern REASON = Pattern.compile("\"reason\":\"([^\"]*)\"");

    private ProblemReason() {}

    /** Returns the reason, or an empty text if there is none. */
    static String of(String body) {
        Matcher m = REASON.matcher(body);
        return m.find() ? m.group(1) : "";
    }

    /** Returns whether only a router with the route of the request gives this answer. */
    static boolean knowsRoute(String body) {
        return KNOWS_ROUTE.contains(of(body));
    }
}
