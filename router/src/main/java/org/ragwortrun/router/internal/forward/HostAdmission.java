package org.ragwortrun.router.internal.forward;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpRequest;
import java.time.Duration;
import java.util.Optional;
import java.util.function.UnaryOperator;
import org.ragwortrun.core.config.Account;
import org.ragwortrun.core.config.Configuration;
import org.ragwortrun.core.config.Forward;
import org.ragwortrun.core.refusal.Refusal;
import org.ragwortrun.core.refusal.RefusalReason;
import org.ragwortrun.core.refusal.RefusedException;
import org.ragwortrun.router.internal.host.HostGuard;

/**
 * Decides whether the load of this host allows a request, by its priority and client account.
 *
 * <p>While requests are shed, this is decided on the head, so that the body of a refused request is neither kept nor
 * forwarded. Requests without a known route or key are left to the rules that deny them.
 */
final class HostAdmission {
    // The connection is closed with the refusal, so that the caller retries at another host.
    private static final Duration RETRY_ELSEWHERE = Duration.ofMillis(50);

    private final HostGuard guard;
    private final ConfigurationSource configuration;
    private final RequestHeaders headers;
    private final UnaryOperator<String> keyDigest;

    /** Decision on the head of a request. */
    enum Decision {
        /** Checked when the request's turn comes. */
        UNDECIDED,
        /** Not checked again. */
        ACCEPTED,
        /** Refused at once. */
        REFUSED
    }

    HostAdmission(
            HostGuard guard,
            ConfigurationSource configuration,
            RequestHeaders headers,
            UnaryOperator<String> keyDigest) {
        this.guard = guard;
        this.configuration = configuration;
        this.headers = headers;
        this.keyDigest = keyDigest;
    }

    /** Decides on the head of a request before whose answer no other one is due. */
    Decision decide(HttpRequest head) {
        Configuration c = guard.isShedding() ? configuration.get().orElse(null) : null;
        String host = head.headers().get(HttpHeaderNames.HOST);
        if (c == null || host == null) {
            return Decision.UNDECIDED;
        }
        Optional<Account> account = headers.key(head.headers()).flatMap(k -> c.accountByKey(keyDigest.apply(k)));
        return c.forwards()
                .find(host, CallerRequest.path(head.uri()))
                .filter(r -> account.isPresent() || r.open() || !c.hasAccounts())
                .map(r -> accepts(r, account, false) ? Decision.ACCEPTED : Decision.REFUSED)
                .orElse(Decision.UNDECIDED);
    }

    /**
     * Checks a request that was not decided on its head.
     *
     * @throws RefusedException if this host refuses it because of its load
     */
    void check(Forward route, Optional<Account> account) throws RefusedException {
        if (!accepts(route, account, true)) {
            throw new RefusedException(refusal());
        }
    }

    boolean isWithdrawn() {
        return guard.isWithdrawn();
    }

    /** Returns whether answers close their connections, so that callers open others at other hosts. */
    boolean closesConnections() {
        return guard.closesConnections();
    }

    static Refusal refusal() {
        return Refusal.notRun(
                RefusalReason.HOST_OVERLOADED, "this host is overloaded; retry at another host", RETRY_ELSEWHERE);
    }

    private boolean accepts(Forward route, Optional<Account> account, boolean received) {
        int priority = account.filter(a -> a.priority().isPresent())
                .map(a -> a.priority().getAsInt())
                .orElse(route.priority());
        return guard.accepts(priority, account.map(Account::name).orElse(""), received);
    }
}
