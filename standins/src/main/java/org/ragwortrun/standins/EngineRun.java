package org.ragwortrun.standins;

import java.util.LinkedHashMap;
import java.util.Map;

/** One request that a stand-in engine received, and what became of it. */
public final class EngineRun {
    private final String id;
    private final String prompt;
    private final int resumed;
    private final int promptTokens;
    private volatile int outputTokens;
    private volatile String outcome = "running";
    private volatile boolean cancelled;

    EngineRun(String id, String prompt, int promptTokens, int resumed) {
        this.id = id;
        this.prompt = prompt;
        this.promptTokens = promptTokens;
        this.resumed = resumed;
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

    /** Returns the number of tokens with which the request resumed. */
    public int resumed() {
        return resumed;
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

    void produced(int tokens) {
        outputTokens = tokens;
    }

    void end(String result) {
        outcome = result;
    }

    long kvTokens() {
        return (long) promptTokens + outputTokens;
    }

    Map<String, Object> describe() {
        Map<String, Object> m = new LinkedHashMap<>();
        m.put("id", id);
        m.put("prompt_tokens", promptTokens);
        m.put("output_tokens", outputTokens);
        m.put("resumed", resumed);
        m.put("outcome", outcome);
        return m;
    }
}
