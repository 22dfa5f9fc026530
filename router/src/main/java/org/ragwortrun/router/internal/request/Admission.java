package org.ragwortrun.router.internal.request;

import com.google.protobuf.ByteString;
import java.util.Optional;
import org.ragwortrun.core.config.Account;
import org.ragwortrun.core.config.Configuration;
import org.ragwortrun.core.id.Digests;
import org.ragwortrun.core.refusal.RefusedException;
import org.ragwortrun.proto.BudgetRef;

/** Applies the local admission rules to a request, in order. */
public final class Admission {
    private final AccountRule accounts;
    private final RouteRule routes;
    private final IdempotencyKeyReader keys;

    public Admission(AccountRule accounts, RouteRule routes, IdempotencyKeyReader keys) {
        this.accounts = accounts;
        this.routes = routes;
        this.keys = keys;
    }

    /**
     * Checks a request.
     *
     * @param generatedId id for a request without a key
     * @throws RefusedException for the first rule that the request violates
     */
    public AdmittedRequest check(CallerRequest request, Configuration configuration, String generatedId)
            throws RefusedException {
        Account account = accounts.findAccount(request, configuration);
        RouteRule.RouteMatch match = routes.findRoute(request, configuration);
        // Routers do not receive the list of budgets; the owner refuses an unknown budget.
        BudgetRef budget = BudgetRef.newBuilder()
                .setAccount(account.name())
                .setService(match.service().name())
                .build();
        Optional<IdempotencyKey> key = keys.read(request, match.route());
        long maxOutput = match.chat()
                .map(c -> c.maxOutput() > 0 ? c.maxOutput() : match.route().maxOutput())
                .orElse(0L);
        long reserved = match.chat()
                .map(c -> c.promptBound() + maxOutput)
                .orElse(match.route().price());
        return new AdmittedRequest(
                request,
                key.map(IdempotencyKey::text).orElse(generatedId),
                key,
                configuration,
                match.route(),
                match.service(),
                match.chat(),
                budget,
                ByteString.copyFrom(Digests.content(request.method(), request.target(), request.body())),
                maxOutput,
                reserved);
    }
}
