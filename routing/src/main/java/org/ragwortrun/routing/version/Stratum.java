package org.ragwortrun.routing.version;

/** A group of comparable requests: one route at one load band, one route at any load, or all requests. */
record Stratum(String route, int loadBand) {
    private static final int ANY_BAND = -1;

    static Stratum allOf() {
        return new Stratum("", ANY_BAND);
    }

    static Stratum ofRoute(String route) {
        return new Stratum(route, ANY_BAND);
    }
}
