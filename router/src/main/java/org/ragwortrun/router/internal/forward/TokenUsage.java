package org.ragwortrun.router.internal.forward;

/**
 * Tokens that a request may consume.
 *
 * @param prompt prompt tokens
 * @param mostOutput most output tokens
 */
public record TokenUsage(long prompt, long mostOutput) {
    /** Returns what the request consumes at its most. */
    public long most() {
        return prompt + mostOutput;
    }
}
