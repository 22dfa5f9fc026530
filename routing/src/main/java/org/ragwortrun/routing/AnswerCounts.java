package org.ragwortrun.routing;

/**
 * Numbers of good and bad answers of an endpoint.
 *
 * @param good complete answers that are no server errors
 * @param bad failed or interrupted answers and failed connections
 */
public record AnswerCounts(int good, int bad) {
    /** No answers. */
    public static final AnswerCounts NONE = new AnswerCounts(0, 0);
}
