package org.ragwortrun.router.internal.forward;

import io.netty.handler.codec.http.DefaultHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpVersion;
import java.util.Comparator;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.Executor;
import org.ragwortrun.core.config.Account;
import org.ragwortrun.core.config.Configuration;
import org.ragwortrun.core.config.Forward;
import org.ragwortrun.core.config.Origin;
import org.ragwortrun.core.id.Digests;
import org.ragwortrun.core.refusal.RefusalReason;
import org.ragwortrun.net.FrameHandler;
import org.ragwortrun.net.Peer;
import org.ragwortrun.net.Replies;
import org.ragwortrun.proto.Frame;
import org.ragwortrun.proto.RouteCandidate;
import org.ragwortrun.proto.RouteExplanation;
import org.ragwortrun.proto.RouteQuery;

/**
 * Explains where a request would be sent now.
 *
 * <p>Nothing is sent to an endpoint, no token is reserved and no permit is requested. Budgets and quarantined contents are
 * not considered, because they depend on the body or on other processes.
 */
final class RouteExplainer implements FrameHandler {
    private static final String REQUEST_ID = "explain-route";
    // Several times the number of endpoints of the largest origin.
    private static final int MAX_CANDIDATES = 2_048;

    private final ForwardServices services;
    private final Executor loop;
    private final OriginPicker picker;

    RouteExplainer(ForwardServices services, Executor loop) {
        this.services = services;
        this.loop = loop;
        picker = new OriginPicker(services.random());
    }

    @Override
    public void onFrame(Peer peer, Frame frame) {
        loop.execute(() -> peer.send(Replies.to(frame)
                .setRouteExplanation(explain(frame.getRouteQuery()))
                .build()));
    }

    /** Explains a request. Called on the event loop. */
    RouteExplanation explain(RouteQuery query) {
        RouteExplanation.Builder out = RouteExplanation.newBuilder().setListAgeMs((int)
                Math.min(Integer.MAX_VALUE, Math.max(0, services.endpoints().ageMs())));
        Optional<Configuration> configuration = services.configuration().get();
        if (configuration.isEmpty()) {
            return refused(out, RefusalReason.CONFIGURATION_LEASE_EXPIRED, "this host has no configuration yet");
        }
        out.setConfigNumber(configuration.get().number());
        CallerRequest request;
        try {
            request = services.headers().read(head(query));
        } catch (MalformedRequestException | IllegalArgumentException e) {
            return refused(out, RefusalReason.MALFORMED_REQUEST, String.valueOf(e.getMessage()));
        }
        return explain(configuration.get(), request, out);
    }

    private RouteExplanation explain(Configuration configuration, CallerRequest request, RouteExplanation.Builder out) {
        Optional<Forward> route = configuration.forwards().find(request.host(), request.path());
        if (route.isEmpty()) {
            return refused(out, RefusalReason.UNKNOWN_ROUTE, "no route matches this host and path");
        }
        out.setRoute(route.get().name());
        Optional<Account> account = request.key().flatMap(k -> configuration.accountByKey(Digests.apiKey(k)));
        account.ifPresent(a -> out.setAccount(a.name()));
        if (account.isEmpty() && configuration.hasAccounts() && !route.get().open()) {
            return refused(out, RefusalReason.UNKNOWN_KEY, "the request has no API key of a client account");
        }
        Optional<Origin> origin = picker.draw(route.get().shares()).flatMap(configuration::origin);
        if (origin.isEmpty()) {
            return refused(out, RefusalReason.NO_ENDPOINT, "the route has no origin");
        }
        out.setOrigin(origin.get().name());
        long now = services.time().nanos();
        Admitted admitted =
                new Admitted(route.get(), origin.get(), account, configuration.number(), OptionalLong.empty(), now);
        EndpointSelector selector = new EndpointSelector(services, request, admitted);
        addCandidates(configuration, request, admitted, selector, now, out);
        EndpointSelector.Choice choice = selector.choose(Set.of(), true);
        choice.endpoint().ifPresent(e -> out.setEndpoint(e.id()));
        if (choice.endpoint().isPresent()) {
            return out.build();
        }
        return choice.allowed() == 0
                ? refused(out, RefusalReason.NO_ENDPOINT, "the configuration and the list allow no endpoint")
                : refused(out, RefusalReason.ENDPOINT_FULL, "no endpoint accepts a request now");
    }

    private void addCandidates(
            Configuration configuration,
            CallerRequest request,
            Admitted admitted,
            EndpointSelector selector,
            long now,
            RouteExplanation.Builder out) {
        services.endpoints().all().stream()
                .filter(s -> s.listed().getService().equals(admitted.origin().name()))
                .map(s -> candidate(configuration, request, admitted, selector, s, now))
                .sorted(Comparator.comparing(
                                (RouteCandidate c) -> !c.getExcluded().isEmpty())
                        .thenComparingDouble(RouteCandidate::getCostMs)
                        .thenComparing(RouteCandidate::getEndpoint))
                .limit(MAX_CANDIDATES)
                .forEach(out::addCandidates);
    }

    private RouteCandidate candidate(
            Configuration configuration,
            CallerRequest request,
            Admitted admitted,
            EndpointSelector selector,
            EndpointState s,
            long now) {
        return RouteCandidate.newBuilder()
                .setEndpoint(s.id())
                .setDataCenter(s.listed().getDataCenter())
                .setExcluded(exclusion(configuration, admitted, selector, s, now))
                .setCostMs(services.placement().costMs(s, request, admitted.origin(), now))
                .setInFlight(s.inFlight())
                .setReported(s.listed().getRunning() + s.listed().getWaiting())
                .setCachedTokens(s.prefixCache().cachedTokens(request.parts()))
                .setPendingTokens((int) Math.min(Integer.MAX_VALUE, Math.max(0, s.pendingTokens())))
                .build();
    }

    /** Returns why an endpoint would not get the request, or an empty string. */
    private String exclusion(
            Configuration configuration, Admitted admitted, EndpointSelector selector, EndpointState s, long now) {
        if (!s.isEligible()) {
            return ineligibility(s);
        }
        Optional<String> filtered = services.filters().stream()
                .flatMap(f -> f.exclusion(s, configuration, admitted.route(), admitted.account()).stream())
                .findFirst();
        if (filtered.isPresent()) {
            return filtered.get();
        }
        // Versions without a share may be used if no version with a share has endpoints.
        String version = s.listed().getVersion();
        if (!version.isEmpty()
                && !configuration.originShares(admitted.origin().name()).isEmpty()
                && configuration.originShares(admitted.origin().name()).getOrDefault(version, 0) == 0) {
            return "version-without-share";
        }
        if (s.notices().earliestSendTime(now, s.inFlight()).orElse(now) - now > 0) {
            return "endpoint-asks-for-time";
        }
        if (s.limit().isLimited() && s.limit().earliestNanos(now) - now > 0) {
            return "limit-reached";
        }
        if (s.connections().isFull(selector.maxConnectionsPerEndpoint())) {
            return "connections-in-use";
        }
        return s.health().isUsable(now) ? "" : "excluded-for-failures";
    }

    private static String ineligibility(EndpointState s) {
        if (!s.isListed()) {
            return "not-listed";
        }
        return s.listed().getDraining() || s.notices().isLeaving() ? "leaving" : "replaced";
    }

    private HttpRequest head(RouteQuery query) {
        String method = query.getMethod().isEmpty() ? "GET" : query.getMethod();
        HttpRequest head = new DefaultHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.valueOf(method), query.getPath());
        query.getHeadersList().forEach(h -> head.headers().add(h.getName(), h.getValue()));
        head.headers().set(HttpHeaderNames.HOST, query.getHost());
        if (!head.headers().contains(services.headers().idHeader())) {
            head.headers().set(services.headers().idHeader(), REQUEST_ID);
        }
        return head;
    }

    private static RouteExplanation refused(RouteExplanation.Builder out, RefusalReason reason, String detail) {
        return out.setRefusal(reason.code()).setDetail(detail).build();
    }
}
