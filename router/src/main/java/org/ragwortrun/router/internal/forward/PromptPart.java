package org.ragwortrun.router.internal.forward;

/**
 * One part of a prompt, as the caller names it. Requests that share parts share what an engine caches of them.
 *
 * @param id identity of the part's content
 * @param tokens its length
 */
public record PromptPart(String id, int tokens) {}
