package org.ragwortrun.core.config;

import java.util.Set;

/**
 * A client account.
 *
 * @param name unique name
 * @param keyDigests SHA-256 digests of its API keys in lower-case hex
 */
public record Account(String name, Set<String> keyDigests) {}
