package org.ragwortrun.control.internal;

import com.google.protobuf.InvalidProtocolBufferException;
import com.google.protobuf.Parser;
import java.util.concurrent.CompletionException;

/** Reads the replies of state machines. */
final class Replied {
    private Replied() {}

    static <T> T read(Parser<T> parser, byte[] reply) {
        try {
            return parser.parseFrom(reply);
        } catch (InvalidProtocolBufferException e) {
            throw new CompletionException(e);
        }
    }
}
