package org.ragwortrun.net.control;

import java.util.Locale;

/** How a configuration reached a daemon. */
enum ConfigDelivery {
    /** The first configuration since the start of the process. */
    FIRST,
    /** Sent by a member without a request. */
    PUSH,
    /** Requested after a confirmation that showed a newer number. */
    FETCH;

    /** Returns the name in log lines and metrics. */
    String text() {
        return name().toLowerCase(Locale.ROOT);
    }
}
