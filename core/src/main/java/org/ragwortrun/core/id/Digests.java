package org.ragwortrun.core.id;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.util.Arrays;
import java.util.HexFormat;
import org.apache.commons.codec.digest.DigestUtils;
import org.apache.commons.codec.digest.MurmurHash3;

/** Digests of content, keys and names. */
public final class Digests {
    private static final int CONTENT_BYTES = 16;

    private Digests() {}

    /** Returns the SHA-256 digest of an API key in lower-case hex, the form of keys in the configuration. */
    public static String apiKey(String key) {
        return DigestUtils.sha256Hex(key);
    }

    /** Returns a 16-byte digest of a request's method, path and body, so that the same content has the same digest. */
    public static byte[] content(String method, String path, byte[] body) {
        return content(method + ' ' + path + '\n', ByteBuffer.wrap(body));
    }

    /**
     * Returns a 16-byte digest of a request's client account, method, path and body, so that the same content of
     * different accounts has different digests.
     */
    public static byte[] content(String account, String method, String path, ByteBuffer body) {
        return content(account + '\n' + method + ' ' + path + '\n', body);
    }

    /**
     * Returns a 16-byte digest of a part of prompts at a service, cheap enough for each request. Callers choose the
     * part's id, so they can choose equal digests too.
     */
    public static byte[] promptPart(String service, String id) {
        byte[] text = (service + '\n' + id).getBytes(StandardCharsets.UTF_8);
        long[] hash = MurmurHash3.hash128x64(text);
        return ByteBuffer.allocate(CONTENT_BYTES)
                .putLong(hash[0])
                .putLong(hash[1])
                .array();
    }

    private static byte[] content(String prefix, ByteBuffer body) {
        MessageDigest sha = DigestUtils.getSha256Digest();
        sha.update(prefix.getBytes(StandardCharsets.UTF_8));
        sha.update(body);
        return Arrays.copyOf(sha.digest(), CONTENT_BYTES);
    }

    /** Returns the shard group of a client account, from 1 to shards. */
    public static int shard(String account, int shards) {
        byte[] name = account.getBytes(StandardCharsets.UTF_8);
        return 1 + Math.floorMod(MurmurHash3.hash32x86(name), shards);
    }

    public static String hex(byte[] bytes) {
        return HexFormat.of().formatHex(bytes);
    }
}
