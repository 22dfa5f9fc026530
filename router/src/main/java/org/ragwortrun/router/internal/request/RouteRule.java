package org.ragwortrun.router.internal.request;

import java.util.Comparator;
import java.util.Optional;
import org.ragwortrun.core.config.Configuration;
import org.ragwortrun.core.config.Route;
import org.ragwortrun.core.config.Service;
import org.ragwortrun.core.refusal.Refusal;
import org.ragwortrun.core.refusal.RefusalReason;
import org.ragwortrun.core.refusal.RefusedException;

/** Finds the route of a request by exact path and model, or by the longest path prefix of a plain service. */
public final class RouteRule {
    private final ChatReader chat;

    public RouteRule(ChatReader chat) {
        this.chat = chat;
    }

    /**
     * Returns the route.
     *
     * @throws RefusedException with {@code unknown-route} or {@code malformed-request}
     */
    public RouteMatch findRoute(CallerRequest request, Configuration configuration) throws RefusedException {
        String path = request.path();
        boolean modelPath = configuration.routes().stream()
                .anyMatch(r -> r.path().equals(path) && kind(configuration, r) == Service.Kind.MODEL);
        if (modelPath) {
            return findModelRoute(request, configuration, path);
        }
        Route route = configuration.routes().stream()
                .filter(r -> kind(configuration, r) == Service.Kind.PLAIN)
                .filter(r -> isPrefix(r.path(), path))
                .max(Comparator.comparingInt(r -> r.path().length()))
                .orElseThrow(() -> unknown("no route has the path " + path));
        return new RouteMatch(route, service(configuration, route), Optional.empty());
    }

    private RouteMatch findModelRoute(CallerRequest request, Configuration configuration, String path)
            throws RefusedException {
        if (!"POST".equals(request.method())) {
            throw unknown(path + " accepts POST only");
        }
        ChatRequest body = chat.read(request.body());
        Route route = configuration.routes().stream()
                .filter(r -> r.path().equals(path))
                .filter(r -> configuration
                        .service(r.service())
                        .filter(s -> s.model().equals(body.model()))
                        .isPresent())
                .findFirst()
                .orElseThrow(() -> unknown("no route serves the model " + body.model()));
        return new RouteMatch(route, service(configuration, route), Optional.of(body));
    }

    /** Returns whether a prefix matches at a segment boundary, so that /orders does not match /orders-archive. */
    private static boolean isPrefix(String prefix, String path) {
        return path.startsWith(prefix)
                && (path.length() == prefix.length() || prefix.endsWith("/") || path.charAt(prefix.length()) == '/');
    }

    private static Service.Kind kind(Configuration configuration, Route route) {
        return configuration.service(route.service()).map(Service::kind).orElse(Service.Kind.PLAIN);
    }

    private static Service service(Configuration configuration, Route route) throws RefusedException {
        return configuration
                .service(route.service())
                .orElseThrow(() -> unknown("route " + route.name() + " names an unknown service"));
    }

    private static RefusedException unknown(String detail) {
        return new RefusedException(Refusal.notRun(RefusalReason.UNKNOWN_ROUTE, detail));
    }

    /** A route, its service and, for a model route, the parsed body. */
    public record RouteMatch(Route route, Service service, Optional<ChatRequest> chat) {}
}
