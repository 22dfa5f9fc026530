package org.ragwortrun.router.internal.request;

import com.google.protobuf.ByteString;
import java.util.Optional;
import org.ragwortrun.core.config.Account;
import org.ragwortrun.core.config.Configuration;
import org.ragwortrun.core.id.Digests;
import org.ragwortrun.core.refusal.RefusedException;
import org.ragwortrun.proto.BudgetRef;

/** Applies the local rules to a request in their order. */
public final class Admission {
    private final AccountRule accounts;
    private final RouteRule routes;
    private final RequestKeys keys;

    public Admission(AccountRule accounts, RouteRule routes, RequestKeys keys) {
        this.accounts = accounts;
        this.routes = routes;
        this.keys = keys;
    }

    /**
     * Checks a request.
     *
     * @param ownId id for a request without a key
     * @throws RefusedException for the first rule that is broken
     */
    public AdmittedRequest check(CallerRequest request, Configuration configuration, String ownId)
            throws RefusedException {
        Account account = accounts.check(request, configuration);
        RouteRule.Routed routed = routes.check(request, configuration);
        // Daemons do not receive budgets; the owner refuses a budget that it does not know.
        BudgetRef budget = BudgetRef.newBuilder()
                .setAccount(account.name())
                .setService(routed.service().name())
                .build();
        Optional<RequestKey> key = keys.read(request, routed.route());
        long maxOutput = routed.chat()
                .map(c -> c.maxOutput() > 0 ? c.maxOutput() : routed.route().maxOutput())
                .orElse(0L);
        long reserved = routed.chat()
                .map(c -> c.promptBound() + maxOutput)
                .orElse(routed.route().price());
        return new AdmittedRequest(
                request,
                key.map(RequestKey::text).orElse(ownId),
                key,
                configuration,
                routed.route(),
                routed.service(),
                routed.chat(),
                budget,
                ByteString.copyFrom(Digests.content(request.method(), request.target(), request.body())),
                maxOutput,
                reserved);
    }
}
