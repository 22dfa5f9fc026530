package org.ragwortrun.router.internal.forward;

import java.util.Optional;
import java.util.OptionalInt;
import java.util.OptionalLong;
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

    /** Adds the number and the age of the configuration. */
    Event addTo(Event line) {
        return line.with("admitted-by", configuration).with("confirmed-ms", confirmedAgeMs.orElse(-1));
    }
}
