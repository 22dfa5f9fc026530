package org.ragwortrun.core.config;

import java.util.OptionalInt;
import java.util.Set;

/**
 * A client account.
 *
 * @param name unique name
 * @param keyDigests SHA-256 digests of its API keys in lower-case hex
 * @param priority priority of its requests, which overrides the priority of their route; lower numbers go first
 * @param metered whether its requests to origins spend from one budget for all origins together
 * @param regions regions whose endpoints may get its requests, empty if all may
 */
public record Account(String name, Set<String> keyDigests, OptionalInt priority, boolean metered, Set<String> regions) {
    public Account(String name, Set<String> keyDigests) {
        this(name, keyDigests, OptionalInt.empty(), false, Set.of());
    }
}
