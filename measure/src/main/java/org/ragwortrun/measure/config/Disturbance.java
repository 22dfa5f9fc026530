package org.ragwortrun.measure.config;

/**
 * A time in which a router was disturbed.
 *
 * @param kind what disturbed it
 * @param fromNanos start, inclusive
 * @param toNanos end, exclusive
 */
record Disturbance(Kind kind, long fromNanos, long toNanos) {
    /** What disturbs a router. */
    enum Kind {
        /** It is suspended. */
        FROZEN,
        /** It ends and starts again. */
        RESTARTED,
        /** Its links to some members, but less than half of them, lose bytes or stand still. */
        SOME_LINKS,
        /** Its links to half of the members or more lose bytes or stand still. */
        LINKS
    }
}
