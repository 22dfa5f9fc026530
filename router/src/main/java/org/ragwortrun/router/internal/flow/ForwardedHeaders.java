package org.ragwortrun.router.internal.flow;

import java.util.List;
import java.util.Locale;
import java.util.Set;
import org.ragwortrun.proto.Header;
import org.ragwortrun.router.internal.request.CallerRequest;

/** Selects the headers to forward to the endpoint. Credentials and hop-by-hop headers are dropped. */
final class ForwardedHeaders {
    private static final Set<String> DROPPED = Set.of(
            "authorization",
            "connection",
            "content-length",
            "expect",
            "host",
            "http2-settings",
            "idempotency-key",
            "keep-alive",
            "proxy-authorization",
            "proxy-connection",
            "te",
            "trailer",
            "transfer-encoding",
            "upgrade",
            "x-request-id");

    private ForwardedHeaders() {}

    static List<Header> of(CallerRequest request) {
        return request.headers().stream()
                .filter(h -> !DROPPED.contains(h.getName().toLowerCase(Locale.ROOT)))
                .toList();
    }
}
