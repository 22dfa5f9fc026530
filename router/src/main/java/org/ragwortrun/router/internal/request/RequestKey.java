package org.ragwortrun.router.internal.request;

import java.util.OptionalLong;

/**
 * An Idempotency-Key.
 *
 * @param text the key
 * @param timeMs time that the key carries, in milliseconds since 1970
 */
public record RequestKey(String text, OptionalLong timeMs) {}
