package org.ragwortrun.standins;

import java.util.LinkedHashMap;
import java.util.Map;

/** A request that a stand-in engine received, and its outcome. */
public final class EngineRun {
    private final String id;
    private final String prompt;
    private final int resumedTokens;
    private final int promptTokens;
    private volatile int outputTokens;
    private volatile String outcome = "running";
    private volatile boolean cancelled;

    EngineRun(String id, String prompt, int promptTokens, int resumedTokens) {
        this.id = id;
        this.prompt = prompt;
        this.promptTokens = promptTokens;
        this.resumedTokens = resumedTokens;
    }

    public String id() {
        return id;
    }

    public String prompt() {
        return prompt;
    }

    public int promptTokens() {
        return promptTokens;
    }

    /** Returns the number of answer tokens that the request already contained. */
    public int resumedTokens() {
        return resumedTokens;
    }

    public int outputTokens() {
        return outputTokens;
    }

    /** Returns {@code running}, {@code done}, {@code cancelled}, {@code failed}, {@code crashed} or {@code lost}. */
    public String outcome() {
        return outcome;
    }

    void cancel() {
        cancelled = true;
    }

    boolean isCancelled() {
        return cancelled;
    }

    void setOutputTokens(int tokens) {
        outputTokens = tokens;
    }

    void setOutcome(String result) {
        outcome = result;
    }

    long kvTokens() {
        return (long) promptTokens + outputTokens;
    }

    Map<String, Object> toMap() {
        Map<String, Object> m = new LinkedHashMap<>();
        m.put("id", id);
        m.put("prompt_tokens", promptTokens);
        m.put("output_tokens", outputTokens);
        m.put("resumed", resumedTokens);
        m.put("outcome", outcome);
        return m;
    }
}
