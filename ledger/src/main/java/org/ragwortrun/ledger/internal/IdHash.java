package org.ragwortrun.ledger.internal;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import org.apache.commons.codec.digest.DigestUtils;

/**
 * First 16 bytes of the SHA-256 digest of an account and a request id.
 *
 * <p>A cryptographic digest is necessary because callers choose the ids: a caller must not be able to construct an id
 * that collides with one of another account.
 */
record IdHash(long high, long low) implements Comparable<IdHash> {
    static IdHash of(String account, String requestId) {
        byte[] name = account.getBytes(StandardCharsets.UTF_8);
        byte[] id = requestId.getBytes(StandardCharsets.UTF_8);
        ByteBuffer all = ByteBuffer.allocate(Integer.BYTES + name.length + id.length);
        all.putInt(name.length).put(name).put(id);
        ByteBuffer digest = ByteBuffer.wrap(DigestUtils.sha256(all.array()));
        return new IdHash(digest.getLong(), digest.getLong());
    }

    @Override
    public int compareTo(IdHash other) {
        int order = Long.compare(high, other.high);
        return order == 0 ? Long.compare(low, other.low) : order;
    }
}
