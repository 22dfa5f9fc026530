package org.ragwortrun.router.internal.forward;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Remembers which parts of prompts an endpoint has read lately through this router.
 *
 * <p>A hint only: the engine may have dropped a part, and other routers send parts too.
 */
final class PrefixMemory {
    // Parts of 400 tokens fill an engine's memory of 400,000 at this number.
    private static final int MOST = 1_000;

    private final Map<String, Long> readNanos = new LinkedHashMap<>(16, 0.75f, true) {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<String, Long> eldest) {
            return size() > MOST;
        }
    };

    void note(List<PromptPart> parts, long now) {
        parts.forEach(p -> readNanos.put(p.id(), now));
    }

    /** Returns the tokens at the start of a prompt that are probably cached. */
    int cachedTokens(List<PromptPart> parts) {
        int tokens = 0;
        for (PromptPart p : parts) {
            if (!readNanos.containsKey(p.id())) {
                break;
            }
            tokens += p.tokens();
        }
        return tokens;
    }

    void clear() {
        readNanos.clear();
    }
}
