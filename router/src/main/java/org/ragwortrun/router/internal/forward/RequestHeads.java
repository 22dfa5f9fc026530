package org.ragwortrun.router.internal.forward;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpRequest;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.stream.Stream;

/** Reads the heads of callers' requests and makes those for endpoints. */
public final class RequestHeads {
    private static final String LAST_EVENT_ID = "Last-Event-ID";
    private static final String BEARER = "Bearer ";
    // In lower case, because names are compared without case.
    private static final Set<String> HOP_BY_HOP = Set.of(
            "connection",
            "keep-alive",
            "proxy-connection",
            "proxy-authenticate",
            "proxy-authorization",
            "te",
            "trailer",
            "transfer-encoding",
            "upgrade",
            "expect",
            "content-length");

    private final HeaderNames names;
    private final Set<String> notForEndpoints;

    public RequestHeads(HeaderNames names) {
        this.names = names;
        Set<String> dropped = new HashSet<>(HOP_BY_HOP);
        Stream.concat(
                        names.reserved().stream(),
                        Stream.of(
                                names.key(),
                                names.account(),
                                names.deadline(),
                                names.expectedEndpoint(),
                                names.urgency()))
                .map(n -> n.toLowerCase(Locale.ROOT))
                .forEach(dropped::add);
        notForEndpoints = Set.copyOf(dropped);
    }

    /**
     * Reads what a head says to the router.
     *
     * @throws MalformedRequestException if a value has another form, or the target holds other than visible characters
     */
    CallerRequest read(HttpRequest head) throws MalformedRequestException {
        HttpHeaders h = head.headers();
        if (!isVisible(head.uri()) || !head.uri().startsWith("/")) {
            throw new MalformedRequestException("the request target must be a path of visible characters");
        }
        if (h.getAll(HttpHeaderNames.HOST).size() != 1) {
            throw new MalformedRequestException("the request must have one Host header");
        }
        String id = Optional.ofNullable(h.get(names.requestId())).orElse("");
        if (id.isEmpty()) {
            throw new MalformedRequestException(names.requestId() + " is required");
        }
        return new CallerRequest(
                id,
                String.valueOf(h.get(HttpHeaderNames.HOST)),
                head.uri(),
                Optional.ofNullable(h.get(names.key()))
                        .map(k -> k.startsWith(BEARER) ? k.substring(BEARER.length()) : k),
                number(h, names.deadline()),
                usage(h),
                parts(h),
                number(h, LAST_EVENT_ID));
    }

    /** Fills in the headers of a request to an endpoint: the caller's, without those that only the system may set. */
    void pass(HttpHeaders from, HttpHeaders to) {
        Set<String> listed = listedAsHopByHop(from);
        for (Map.Entry<String, String> e : from) {
            String name = e.getKey().toLowerCase(Locale.ROOT);
            if (!notForEndpoints.contains(name) && !listed.contains(name)) {
                to.add(e.getKey(), e.getValue());
            }
        }
    }

    /** Returns the names that the Connection header lists, in lower case. */
    private static Set<String> listedAsHopByHop(HttpHeaders from) {
        if (!from.contains(HttpHeaderNames.CONNECTION)) {
            return Set.of();
        }
        Set<String> listed = new HashSet<>();
        for (String value : from.getAll(HttpHeaderNames.CONNECTION)) {
            for (String name : value.split(",")) {
                listed.add(name.trim().toLowerCase(Locale.ROOT));
            }
        }
        return listed;
    }

    /** Fills in the headers that the system sets. */
    void address(HttpHeaders to, Optional<String> account, long leftMs, String endpoint, int urgency) {
        account.ifPresent(a -> to.set(names.account(), a));
        to.set(names.deadline(), Long.toString(Math.max(1, leftMs)));
        to.set(names.expectedEndpoint(), endpoint);
        to.set(names.urgency(), Integer.toString(urgency));
    }

    /** Asks an endpoint for the events after one that was received. */
    void resume(HttpHeaders to, long lastEvent) {
        to.set(LAST_EVENT_ID, Long.toString(lastEvent));
    }

    /** Fills in the headers of an answer to a caller, without those that concern the endpoint's connection. */
    void answer(HttpHeaders from, HttpHeaders to) {
        for (Map.Entry<String, String> e : from) {
            if (!HOP_BY_HOP.contains(e.getKey().toLowerCase(Locale.ROOT))) {
                to.add(e.getKey(), e.getValue());
            }
        }
    }

    boolean isProven(HttpHeaders answer) {
        return answer.contains(names.proof());
    }

    boolean isNotRun(HttpHeaders answer) {
        return answer.contains(names.notRun());
    }

    /** Tells whether an answer names the request that it belongs to. */
    boolean namesRequest(HttpHeaders answer) {
        return answer.contains(names.requestId());
    }

    /** Tells whether an answer belongs to another request. */
    boolean isForeign(HttpHeaders answer, String requestId) {
        String echoed = answer.get(names.requestId());
        return echoed != null && !echoed.equals(requestId);
    }

    /** Tells whether the endpoint that answers says that it leaves. */
    boolean saysLeaving(HttpHeaders answer) {
        return "1".equals(answer.get(names.leaving(), "").trim());
    }

    /** Tells whether an answer names another endpoint as its origin than the one with this id. */
    boolean isOfOtherEndpoint(HttpHeaders answer, String endpoint) {
        String named = answer.get(names.endpointId());
        return named != null && !named.equals(endpoint);
    }

    String idHeader() {
        return names.requestId();
    }

    private Optional<TokenUsage> usage(HttpHeaders h) throws MalformedRequestException {
        String text = h.get(names.usage());
        if (text == null) {
            return Optional.empty();
        }
        String[] values = text.split(",");
        if (values.length != 2) {
            throw new MalformedRequestException(names.usage() + " must be two numbers");
        }
        return Optional.of(new TokenUsage(amount(names.usage(), values[0]), amount(names.usage(), values[1])));
    }

    private List<PromptPart> parts(HttpHeaders h) throws MalformedRequestException {
        String text = h.get(names.parts());
        if (text == null) {
            return List.of();
        }
        List<PromptPart> parts = new ArrayList<>();
        for (String item : text.split(",")) {
            String[] fields = item.trim().split(":");
            if (fields.length != 2) {
                throw new MalformedRequestException(names.parts() + " must list ID:TOKENS");
            }
            parts.add(new PromptPart(fields[0], (int) amount(names.parts(), fields[1])));
        }
        return parts;
    }

    private static OptionalLong number(HttpHeaders h, String name) throws MalformedRequestException {
        String text = h.get(name);
        return text == null ? OptionalLong.empty() : OptionalLong.of(amount(name, text));
    }

    private static long amount(String name, String text) throws MalformedRequestException {
        try {
            double value = Double.parseDouble(text.trim());
            if (value >= 0 && value <= Integer.MAX_VALUE) {
                return (long) value;
            }
        } catch (NumberFormatException e) {
            // reported below with the numbers out of range
        }
        throw new MalformedRequestException(name + " must be a number that is not negative");
    }

    private static boolean isVisible(String target) {
        for (int i = 0; i < target.length(); i++) {
            if (target.charAt(i) <= ' ' || target.charAt(i) >= 0x7f) {
                return false;
            }
        }
        return true;
    }
}
