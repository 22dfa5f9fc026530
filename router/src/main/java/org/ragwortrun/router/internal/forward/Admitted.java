package org.ragwortrun.router.internal.forward;

import java.util.Optional;
import java.util.OptionalLong;
import org.ragwortrun.core.config.Account;
import org.ragwortrun.core.config.Forward;
import org.ragwortrun.core.config.Origin;
import org.ragwortrun.core.log.Event;

/**
 * What the configuration decided about a request when it was admitted.
 *
 * @param account client account, empty if the route needs none
 * @param configuration number of that configuration
 * @param confirmedAgeMs age of its last confirmation at that time in milliseconds
 * @param startNanos monotonic time from which the time limit of the request runs
 */
record Admitted(
        Forward route,
        Origin origin,
        Optional<Account> account,
        long configuration,
        OptionalLong confirmedAgeMs,
        long startNanos) {
    /** Adds the number and the age of the configuration. */
    Event addTo(Event line) {
        return line.with("admitted-by", configuration).with("confirmed-ms", confirmedAgeMs.orElse(-1));
    }
}
