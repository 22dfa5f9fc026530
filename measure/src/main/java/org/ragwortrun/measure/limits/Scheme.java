package org.ragwortrun.measure.limits;

import java.util.Locale;

/** How routers decide whether a request may be sent to an endpoint with a limit. */
enum Scheme {
    /** A coordinator grants a permit for each request. */
    COORDINATED,
    /** Each router uses an equal share of the limit. */
    EQUAL_SHARES,
    /** Each router keeps to the whole limit by itself. */
    EACH_ALONE,
    /** The limit is ignored. */
    IGNORED;

    String figure() {
        return name().toLowerCase(Locale.ROOT);
    }
}
