package org.ragwortrun.routing;

/**
 * Properties of a request on which the choice of its endpoint may depend.
 *
 * @param account client account
 * @param route route
 * @param dataCenter data center of the router
 * @param priority lower numbers go first
 * @param promptBound upper bound of the prompt length in tokens
 * @param maxOutput maximum output in tokens
 * @param prefixHash hash of the start of the prompt, 0 if there is none
 */
public record ChoiceRequest(
        String account,
        String route,
        String dataCenter,
        int priority,
        long promptBound,
        long maxOutput,
        long prefixHash) {}
