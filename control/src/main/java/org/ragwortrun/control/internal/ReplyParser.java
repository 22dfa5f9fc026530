package org.ragwortrun.control.internal;

import com.google.protobuf.InvalidProtocolBufferException;
import com.google.protobuf.Parser;
import java.util.concurrent.CompletionException;

/** Parses the replies of state machines. */
final class ReplyParser {
    private ReplyParser() {}

    static <T> T parse(Parser<T> parser, byte[] reply) {
        try {
            return parser.parseFrom(reply);
        } catch (InvalidProtocolBufferException e) {
            throw new CompletionException(e);
        }
    }
}
