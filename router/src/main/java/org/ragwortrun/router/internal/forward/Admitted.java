package org.ragwortrun.router.internal.forward;

import java.util.Optional;
import java.util.OptionalInt;
import java.util.OptionalLong;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.ragwortrun.core.config.Account;
import org.ragwortrun.core.config.Budget;
import org.ragwortrun.core.config.Forward;
import org.ragwortrun.core.config.Origin;
import org.ragwortrun.core.log.Event;
import org.ragwortrun.proto.BudgetRef;

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
    private static final Logger LOG = LogManager.getLogger(Exchange.class);

    /** Returns the budget from which the tokens of a request are spent, if any. */
    Optional<BudgetRef> budget(CallerRequest request) {
        return request.usage()
                .flatMap(u -> account)
                .filter(Account::metered)
                .map(a -> BudgetRef.newBuilder()
                        .setAccount(a.name())
                        .setService(Budget.ALL_ORIGINS)
                        .build());
    }

    /** Returns the priority of the account, or of the route if the account has none. */
    int priority() {
        return account.map(Account::priority).stream()
                .flatMapToInt(OptionalInt::stream)
                .findFirst()
                .orElse(route.priority());
    }

    /**
     * Logs a request that is sent although a newer configuration than its own is in force, such as one that waited. Its
     * last line is missing if this process ends before its answer. All other requests are sent by the configuration in
     * force, so they need no line.
     *
     * @param current number of the configuration in force
     * @return whether a line was logged
     */
    boolean logIfOutdated(long current, String requestId, String endpoint) {
        if (configuration >= current) {
            return false;
        }
        addTo(Event.of("request-outdated")
                        .with("id", requestId)
                        .with("route", route.name())
                        .with("origin", origin.name())
                        .with("endpoint", endpoint)
                        .with("current", current))
                .info(LOG);
        return true;
    }

    /** Adds the number and the age of the configuration. */
    Event addTo(Event line) {
        return line.with("admitted-by", configuration).with("confirmed-ms", confirmedAgeMs.orElse(-1));
    }
}
