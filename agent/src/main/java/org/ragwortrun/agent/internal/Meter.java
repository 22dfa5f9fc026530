package org.ragwortrun.agent.internal;

/**
 * Counts the tokens of one request and detects when its limits are reached.
 *
 * <p>Uses the engine's own count, but counts each piece of output as at least one token, so that an engine that
 * under-reports cannot exceed the reservation unnoticed.
 */
final class Meter {
    private final long reserved;
    private final long maxOutput;
    private final long resumed;
    private long prompt;
    private long output;
    private long pieces;

    /**
     * Creates a meter.
     *
     * @param reserved tokens of prompt and output together that may be billed
     * @param maxOutput output tokens that may be delivered, including those of earlier attempts
     * @param resumed output tokens that earlier attempts delivered
     */
    Meter(long reserved, long maxOutput, long resumed) {
        this.reserved = reserved;
        this.maxOutput = maxOutput;
        this.resumed = resumed;
        output = resumed;
    }

    /**
     * Counts one piece of output and returns whether it may be delivered.
     *
     * @param enginePrompt prompt tokens that the engine reports, which include the resumed text; 0 if it reports none
     * @param engineOutput output tokens of this attempt that the engine reports; 0 if it reports none
     */
    boolean add(long enginePrompt, long engineOutput, boolean hasText) {
        prompt = Math.max(prompt, enginePrompt - resumed);
        pieces += hasText ? 1 : 0;
        long next = resumed + Math.max(engineOutput, pieces);
        boolean within = next <= maxOutput && prompt + next <= reserved;
        if (within) {
            output = Math.max(output, next);
        } else if (!hasText) {
            output = Math.max(output, Math.min(next, Math.min(maxOutput, reserved - prompt)));
        } else {
            pieces--;
        }
        return within;
    }

    long promptTokens() {
        return Math.min(prompt, reserved);
    }

    long outputTokens() {
        return output;
    }

    /** Returns the tokens to bill, never more than the reservation. */
    long billed() {
        return Math.min(reserved, prompt + output);
    }
}
