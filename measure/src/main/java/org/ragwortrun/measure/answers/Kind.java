package org.ragwortrun.measure.answers;

import java.util.Locale;

/** What a router may do with a request whose outcome is unknown. */
enum Kind {
    IDEMPOTENT,
    ONCE,
    STREAM;

    String path() {
        return "/" + name().toLowerCase(Locale.ROOT) + "/";
    }

    /** Returns the configuration section of the route for this kind. */
    String section(String host, String origin) {
        String name = name().toLowerCase(Locale.ROOT);
        return "[forward " + name + "]\nhost = " + host + "\npath = " + path() + "\nkind = " + name + "\nto = " + origin
                + "\ntimeout = " + CallerThread.LIMIT_MS + "ms\nattempts = 2\n\n";
    }
}
