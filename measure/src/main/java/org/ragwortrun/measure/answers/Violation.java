package org.ragwortrun.measure.answers;

/**
 * A breach of what callers of a router may rely on.
 *
 * @param rule name of the figure that counts it
 * @param id id of the request, or of the last one on the connection
 * @param seen what was seen
 */
record Violation(String rule, String id, String seen) {}
