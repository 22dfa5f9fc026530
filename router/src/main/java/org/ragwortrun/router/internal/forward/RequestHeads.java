package org.ragwortrun.router.internal.forward;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpRequest;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.stream.Stream;

/** Reads the heads of callers' requests and makes those for endpoints. */
public final class RequestHeads {
    private static final String LAST_EVENT_ID = "Last-Event-ID";
    private static final List<String> HOP_BY_HOP = List.of(
            "Connection",
            "Keep-Alive",
            "Proxy-Connection",
            "Proxy-Authenticate",
            "Proxy-Authorization",
            "TE",
            "Trailer",
            "Transfer-Encoding",
            "Upgrade",
            "Expect",
            "Content-Length");

    private final HeaderNames names;

    public RequestHeads(HeaderNames names) {
        this.names = names;
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
                Optional.ofNullable(h.get(names.key())).map(k -> k.replaceFirst("^Bearer ", "")),
                number(h, names.deadline()),
                usage(h),
                parts(h),
                number(h, LAST_EVENT_ID));
    }

    /** Fills in the headers of a request to an endpoint: the caller's, without those that only the system may set. */
    void pass(HttpHeaders from, HttpHeaders to) {
        List<String> dropped = new ArrayList<>(HOP_BY_HOP);
        from.getAll(HttpHeaderNames.CONNECTION).stream()
                .flatMap(v -> Arrays.stream(v.split(",")))
                .map(String::trim)
                .forEach(dropped::add);
        dropped.addAll(names.reserved());
        dropped.addAll(
                List.of(names.key(), names.account(), names.deadline(), names.expectedEndpoint(), names.urgency()));
        from.forEach(e -> {
            if (dropped.stream().noneMatch(d -> d.equalsIgnoreCase(e.getKey()))) {
                to.add(e.getKey(), e.getValue());
            }
        });
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
        from.forEach(e -> {
            if (HOP_BY_HOP.stream().noneMatch(d -> d.equalsIgnoreCase(e.getKey()))) {
                to.add(e.getKey(), e.getValue());
            }
        });
    }

    boolean isProven(HttpHeaders answer) {
        return answer.contains(names.proof());
    }

    boolean isNotRun(HttpHeaders answer) {
        return answer.contains(names.notRun());
    }

    /** Tells whether an answer belongs to another request. */
    boolean isForeign(HttpHeaders answer, String requestId) {
        String echoed = answer.get(names.requestId());
        return echoed != null && !echoed.equals(requestId);
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
        return Stream.of(target).flatMapToInt(String::chars).allMatch(c -> c > ' ' && c < 0x7f);
    }
}
