package org.ragwortrun.router.internal.forward;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Estimates which parts of prompts an endpoint has cached, from the requests that this router sent to it.
 *
 * <p>The estimate is only a hint: the engine may have evicted a part, and other routers send parts too.
 */
final class PrefixCacheEstimate {
    // This many parts of 400 tokens fill an engine's cache of 400,000 tokens.
    private static final int MAX_PARTS = 1_000;

    private final Map<String, Long> readNanos = new LinkedHashMap<>(16, 0.75f, true) {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<String, Long> eldest) {
            return size() > MAX_PARTS;
        }
    };

    void onPromptSent(List<PromptPart> parts, long now) {
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
