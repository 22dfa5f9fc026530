package org.ragwortrun.router.internal.forward;

/**
 * Tokens that a request may consume.
 *
 * @param prompt tokens of the prompt
 * @param maxOutput maximum output tokens
 */
public record TokenUsage(long prompt, long maxOutput) {
    /** Returns the maximum number of tokens that the request may consume. */
    public long maxTotal() {
        return prompt + maxOutput;
    }
}
