package org.ragwortrun.router.internal.flow;

/**
 * Token counts and finish state of a complete answer.
 *
 * @param promptTokens tokens of the prompt
 * @param outputTokens tokens of the output
 * @param truncated whether the output was truncated at its limit
 */
public record AnswerSummary(long promptTokens, long outputTokens, boolean truncated) {
    String finishReason() {
        return truncated ? "length" : "stop";
    }
}
