package org.ragwortrun.core.config;

/**
 * A model or a plain service that endpoints offer.
 *
 * @param name unique name
 * @param kind whether endpoints speak chat completions or plain HTTP
 * @param model model name in chat-completions requests, empty for plain services
 * @param version version that receives the traffic when no move is under way
 */
public record Service(String name, Kind kind, String model, String version) {
    /** Protocol of a service's endpoints. */
    public enum Kind {
        MODEL,
        PLAIN
    }
}
