package org.ragwortrun.routing;

import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.OptionalDouble;

/**
 * What an endpoint has said about the requests per second that it accepts from all routers together.
 *
 * <p>The endpoint made the statement between the time at which its request was sent and the time at which its answer
 * was received. Answers can overtake each other, so only statements whose times do not overlap have a known order.
 * Times are monotonic nanoseconds.
 *
 * @param perSecond requests per second, infinite if the endpoint has named no limit
 * @param sentNanos time at which the request was sent
 * @param receivedNanos time at which the head of the answer was received
 */
public record LimitStatement(double perSecond, long sentNanos, long receivedNanos) {
    // Some requests are sent to an endpoint that accepts none, because only answers show that a limit has ended.
    private static final double MIN_PER_SECOND = 0.2;

    /** Creates a statement without a limit. */
    public static LimitStatement unlimited(long sentNanos, long receivedNanos) {
        return new LimitStatement(Double.POSITIVE_INFINITY, sentNanos, receivedNanos);
    }

    /** Returns whether the endpoint has named a limit. */
    public boolean isLimited() {
        return Double.isFinite(perSecond);
    }

    /** Returns the requests per second that may be sent, at least one in five seconds. */
    public double usablePerSecond() {
        return Math.max(MIN_PER_SECOND, perSecond);
    }

    /**
     * Returns whether this statement replaces another: it is later, or may be later and its limit is lower.
     *
     * @param other statement of the same endpoint
     */
    public boolean supersedes(LimitStatement other) {
        boolean later = sentNanos - other.receivedNanos >= 0;
        boolean earlier = other.sentNanos - receivedNanos >= 0;
        return later || !earlier && perSecond < other.perSecond;
    }

    /**
     * Reads the statement in an answer, from the values of its limit headers. Without a value there is no limit.
     *
     * @return the statement, or empty if there are values of which none is a finite, non-negative number
     */
    public static Optional<LimitStatement> read(List<String> values, long sentNanos, long receivedNanos) {
        OptionalDouble limit = parse(values);
        return limit.isEmpty() && !values.isEmpty()
                ? Optional.empty()
                : Optional.of(new LimitStatement(limit.orElse(Double.POSITIVE_INFINITY), sentNanos, receivedNanos));
    }

    /**
     * Parses the values of a limit header, which may occur several times in one head or contain a list.
     *
     * @return the lowest limit, or empty if none is a finite, non-negative number
     */
    static OptionalDouble parse(List<String> values) {
        return values.stream()
                .flatMap(v -> Arrays.stream(v.split(",")))
                .mapToDouble(LimitStatement::parseNumber)
                .filter(n -> n >= 0 && Double.isFinite(n))
                .min();
    }

    private static double parseNumber(String text) {
        try {
            return Double.parseDouble(text.trim());
        } catch (NumberFormatException e) {
            return Double.NaN;
        }
    }
}
