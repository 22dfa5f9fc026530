package org.ragwortrun.routing.version;

/** Requests that may be compared with each other: one route at one load band, or all routes together. */
record Stratum(String route, int loadBand) {
    private static final int ANY_BAND = -1;

    static Stratum allOf() {
        return new Stratum("", ANY_BAND);
    }

    static Stratum ofRoute(String route) {
        return new Stratum(route, ANY_BAND);
    }
}
