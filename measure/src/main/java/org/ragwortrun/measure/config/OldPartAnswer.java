package org.ragwortrun.measure.config;

/**
 * An answer of a router to a request that only a configuration before an acknowledged change allows.
 *
 * @param router name of the router
 * @param part part of the older configuration
 * @param change acknowledged change that dropped or moved it
 * @param sentNanos time at which the request was sent
 * @param answeredNanos time at which the answer arrived
 * @param followed whether the router followed the older configuration
 */
record OldPartAnswer(
        String router, OldPart part, Change change, long sentNanos, long answeredNanos, boolean followed) {}
