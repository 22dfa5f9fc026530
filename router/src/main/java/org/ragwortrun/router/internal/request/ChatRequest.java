package org.ragwortrun.router.internal.request;

/**
 * What the router reads from a chat-completions request.
 *
 * @param model model name
 * @param stream whether the caller wants server-sent events
 * @param promptBound upper bound of the prompt in tokens
 * @param maxOutput output limit named by the caller, 0 if none
 * @param prefixHash hash of the first message, a hint for prefix caches
 */
public record ChatRequest(String model, boolean stream, long promptBound, long maxOutput, long prefixHash) {}
