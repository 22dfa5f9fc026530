package org.ragwortrun.ledger.internal;

import org.ragwortrun.proto.ErrorReply;
import org.ragwortrun.proto.ShardResult;

/** Error types of commands that a shard rejects. A rejected command has no effect. */
public enum ShardErrors {
    MALFORMED_COMMAND("malformed-command"),
    MALFORMED_GRANT_ID("malformed-grant-id"),
    NEGATIVE_AMOUNT("negative-amount"),
    AMOUNT_OVERFLOW("amount-overflow"),
    INVALID_RETURN("invalid-return"),
    UNKNOWN_BUDGET("unknown-budget"),
    UNKNOWN_SESSION("unknown-session"),
    SESSION_CLOSED("session-closed"),
    ID_WITHOUT_TIME("id-without-time");

    private final String type;

    ShardErrors(String type) {
        this.type = type;
    }

    /** Returns the name of the error in replies. */
    public String type() {
        return type;
    }

    /** Returns the reply to a rejected command. */
    public ShardResult reply(String detail) {
        return ShardResult.newBuilder()
                .setError(ErrorReply.newBuilder().setType(type).setDetail(detail))
                .build();
    }
}
