package org.ragwortrun.router.internal.request;

import org.ragwortrun.core.config.Account;
import org.ragwortrun.core.config.Configuration;
import org.ragwortrun.core.config.Service;
import org.ragwortrun.core.refusal.Refusal;
import org.ragwortrun.core.refusal.RefusalReason;
import org.ragwortrun.core.refusal.RefusedException;
import org.ragwortrun.proto.BudgetRef;

/** Requires that the client account has a budget for the service. */
public final class BudgetRule {
    /**
     * Returns the budget.
     *
     * @throws RefusedException with {@code unknown-budget}
     */
    public BudgetRef check(Configuration configuration, Account account, Service service) throws RefusedException {
        if (configuration.budget(account.name(), service.name()).isEmpty()) {
            throw new RefusedException(Refusal.notRun(
                    RefusalReason.UNKNOWN_BUDGET,
                    "client account " + account.name() + " has no budget for service " + service.name()));
        }
        return BudgetRef.newBuilder()
                .setAccount(account.name())
                .setService(service.name())
                .build();
    }
}
