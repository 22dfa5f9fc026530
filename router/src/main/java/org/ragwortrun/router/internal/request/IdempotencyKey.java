package org.ragwortrun.router.internal.request;

import java.util.OptionalLong;

/**
 * An Idempotency-Key.
 *
 * @param text the key
 * @param timeMs time encoded in the key, in milliseconds since 1970, if any
 */
public record IdempotencyKey(String text, OptionalLong timeMs) {}
