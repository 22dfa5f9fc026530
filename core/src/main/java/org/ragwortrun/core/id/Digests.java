package org.ragwortrun.core.id;

import java.nio.charset.StandardCharsets;
import java.util.HexFormat;
import org.apache.commons.codec.digest.DigestUtils;
import org.apache.commons.codec.digest.MurmurHash3;

/** Digests of content, keys and names. */
public final class Digests {
    private Digests() {}

    /** Returns the SHA-256 digest of an API key in lower-case hex, the form in which keys stand in the configuration. */
    public static String apiKey(String key) {
        return DigestUtils.sha256Hex(key);
    }

    /** Returns a 16-byte digest of a request's method, path and body, so that the same content has the same digest. */
    public static byte[] content(String method, String path, byte[] body) {
        byte[] head = (method + ' ' + path + '\n').getBytes(StandardCharsets.UTF_8);
        byte[] all = new byte[head.length + body.length];
        System.arraycopy(head, 0, all, 0, head.length);
        System.arraycopy(body, 0, all, head.length, body.length);
        byte[] digest = new byte[16];
        System.arraycopy(DigestUtils.sha256(all), 0, digest, 0, digest.length);
        return digest;
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
