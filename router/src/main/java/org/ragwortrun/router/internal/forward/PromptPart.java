package org.ragwortrun.router.internal.forward;

/**
 * One part of a prompt, as named by the caller. Requests with the same parts can use the same cache entries of an
 * engine.
 *
 * @param id identity of the part's content
 * @param tokens length of the part in tokens
 */
public record PromptPart(String id, int tokens) {}
