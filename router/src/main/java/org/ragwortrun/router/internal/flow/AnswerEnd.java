package org.ragwortrun.router.internal.flow;

/**
 * How a whole answer ended.
 *
 * @param promptTokens tokens of the prompt
 * @param outputTokens tokens of the output
 * @param truncated whether the output was cut at its limit
 */
public record AnswerEnd(long promptTokens, long outputTokens, boolean truncated) {
    String finishReason() {
        return truncated ? "length" : "stop";
    }
}
