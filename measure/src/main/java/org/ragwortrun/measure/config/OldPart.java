package org.ragwortrun.measure.config;

import java.util.Locale;

/** A part of a configuration that the next change drops or moves. */
enum OldPart {
    /** A route that is dropped. */
    ROUTE,
    /** An API key that is dropped. */
    KEY,
    /** A route that is moved to another origin. */
    ORIGIN;

    /** Returns the name in figures. */
    String text() {
        return name().toLowerCase(Locale.ROOT);
    }
}
