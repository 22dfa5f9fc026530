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

/** Reads the headers of requests and answers, and writes those that are forwarded. */
public final class RequestHeaders {
    private static final String LAST_EVENT_ID = "Last-Event-ID";
    private static final String BEARER = "Bearer ";
    // In lower case, because header names are compared case-insensitively.
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
    private final Set<String> droppedHeaders;

    public RequestHeaders(HeaderNames names) {
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
        droppedHeaders = Set.copyOf(dropped);
    }

    /**
     * Reads the values that the router uses from the head of a request.
     *
     * @throws MalformedRequestException if a value is missing or malformed, or the target contains invisible characters
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
                key(h),
                number(h, names.deadline()),
                usage(h),
                parts(h),
                number(h, LAST_EVENT_ID));
    }

    /** Returns the API key of a request. */
    Optional<String> key(HttpHeaders h) {
        return Optional.ofNullable(h.get(names.key()))
                .map(k -> k.startsWith(BEARER) ? k.substring(BEARER.length()) : k);
    }

    /** Copies the headers of a caller's request to one for an endpoint, except those that only the system may set. */
    void copyToEndpoint(HttpHeaders from, HttpHeaders to) {
        Set<String> listed = listedAsHopByHop(from);
        for (Map.Entry<String, String> e : from) {
            String name = e.getKey().toLowerCase(Locale.ROOT);
            if (!droppedHeaders.contains(name) && !listed.contains(name)) {
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

    /** Sets the headers that only the system may set. */
    void setEndpointHeaders(HttpHeaders to, Optional<String> account, long leftMs, String endpoint, int urgency) {
        account.ifPresent(a -> to.set(names.account(), a));
        to.set(names.deadline(), Long.toString(Math.max(1, leftMs)));
        to.set(names.expectedEndpoint(), endpoint);
        to.set(names.urgency(), Integer.toString(urgency));
    }

    /** Asks an endpoint for the events that follow one that was received. */
    void setLastEventId(HttpHeaders to, long lastEvent) {
        to.set(LAST_EVENT_ID, Long.toString(lastEvent));
    }

    /** Copies the headers of an endpoint's answer to one for a caller, except hop-by-hop headers. */
    void copyToCaller(HttpHeaders from, HttpHeaders to) {
        for (Map.Entry<String, String> e : from) {
            if (!HOP_BY_HOP.contains(e.getKey().toLowerCase(Locale.ROOT))) {
                to.add(e.getKey(), e.getValue());
            }
        }
    }

    boolean hasProof(HttpHeaders answerHeaders) {
        return answerHeaders.contains(names.proof());
    }

    /** Returns the proof of an answer, or an empty string if it has none. */
    String proof(HttpHeaders answerHeaders) {
        return answerHeaders.get(names.proof(), "");
    }

    boolean isNotRun(HttpHeaders answerHeaders) {
        return answerHeaders.contains(names.notRun());
    }

    /** Returns whether an answer contains a request id. */
    boolean namesRequest(HttpHeaders answerHeaders) {
        return answerHeaders.contains(names.requestId());
    }

    /** Returns whether an answer contains different request ids or proofs. */
    boolean namesSeveral(HttpHeaders answerHeaders) {
        return hasSeveralValues(answerHeaders, names.requestId()) || hasSeveralValues(answerHeaders, names.proof());
    }

    private static boolean hasSeveralValues(HttpHeaders headers, String name) {
        List<String> values = headers.getAll(name);
        return values.size() > 1 && Set.copyOf(values).size() > 1;
    }

    /** Returns whether an answer contains the id of another request. */
    boolean isForOtherRequest(HttpHeaders answerHeaders, String requestId) {
        String echoed = answerHeaders.get(names.requestId());
        return echoed != null && !echoed.equals(requestId);
    }

    /** Returns whether the endpoint announces in an answer that it is leaving. */
    boolean announcesLeaving(HttpHeaders answerHeaders) {
        return "1".equals(answerHeaders.get(names.leaving(), "").trim());
    }

    /** Returns the values of the headers by which the endpoint names its limit, as they were received. */
    List<String> limits(HttpHeaders answerHeaders) {
        return answerHeaders.getAll(names.limit());
    }

    /** Returns whether an answer contains the id of another endpoint. */
    boolean isFromOtherEndpoint(HttpHeaders answerHeaders, String endpoint) {
        String named = answerHeaders.get(names.endpointId());
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
        return Optional.of(
                new TokenUsage(parseAmount(names.usage(), values[0]), parseAmount(names.usage(), values[1])));
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
            parts.add(new PromptPart(fields[0], (int) parseAmount(names.parts(), fields[1])));
        }
        return parts;
    }

    private static OptionalLong number(HttpHeaders h, String name) throws MalformedRequestException {
        String text = h.get(name);
        return text == null ? OptionalLong.empty() : OptionalLong.of(parseAmount(name, text));
    }

    private static long parseAmount(String name, String text) throws MalformedRequestException {
        try {
            double value = Double.parseDouble(text.trim());
            if (value >= 0 && value <= Integer.MAX_VALUE) {
                return (long) value;
            }
        } catch (NumberFormatException e) {
            // Reported below, together with numbers out of range.
        }
        throw new MalformedRequestException(name + " must be a non-negative number");
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
