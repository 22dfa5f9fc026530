package org.ragwortrun.router.internal.forward;

import com.google.protobuf.ByteString;
import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpMethod;
import org.jspecify.annotations.Nullable;
import org.ragwortrun.core.id.Digests;

/**
 * Identifies the content of a request: account, method, target and body. All attempts with the same content are equal
 * in it.
 */
final class RequestContent {
    private final String account;
    private final HttpMethod method;
    private final String target;
    private final ByteBuf body;
    private @Nullable ByteString digest;

    /**
     * Creates the identity of a request.
     *
     * @param account name of the client account, empty for none
     * @param body request body, which must not be released before the first call of {@link #digest()}
     */
    RequestContent(String account, HttpMethod method, String target, ByteBuf body) {
        this.account = account;
        this.method = method;
        this.target = target;
        this.body = body;
    }

    /** Returns a digest of 16 bytes. */
    ByteString digest() {
        ByteString d = digest;
        if (d == null) {
            d = ByteString.copyFrom(Digests.content(account, method.name(), target, body.nioBuffer()));
            digest = d;
        }
        return d;
    }

    /** Returns the digest in hexadecimal if it has been computed, otherwise an empty string. */
    String hexIfComputed() {
        ByteString d = digest;
        return d == null ? "" : Digests.hex(d.toByteArray());
    }
}
