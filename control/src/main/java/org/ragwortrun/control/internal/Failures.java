package org.ragwortrun.control.internal;

import java.util.concurrent.CompletionException;
import org.ragwortrun.core.error.RagwortrunException;
import org.ragwortrun.net.Replies;
import org.ragwortrun.proto.ErrorReply;
import org.ragwortrun.proto.Frame;

/** Builds the replies to requests that failed. */
final class Failures {
    static final String OVERLOADED = "overloaded";
    static final String NOT_LEADER = "not-leader";
    private static final int RETRY_AFTER_MS = 200;

    private Failures() {}

    /** Answers that the daemon has no room for the request. */
    static Frame overloaded(Frame request, String detail) {
        return Replies.to(request)
                .setError(ErrorReply.newBuilder()
                        .setType(OVERLOADED)
                        .setDetail(detail)
                        .setRetryAfterMs(RETRY_AFTER_MS))
                .build();
    }

    static Frame notLeader(Frame request, Group group) {
        return Replies.to(request).setNotLeader(group.hint()).build();
    }

    /** Answers a request whose proposal failed. */
    static Frame of(Frame request, Group group, Throwable failure) {
        Throwable cause = unwrap(failure);
        if (!(cause instanceof RagwortrunException typed)) {
            return Replies.error(request, "internal", String.valueOf(cause.getMessage()));
        }
        return switch (typed.type()) {
            case NOT_LEADER -> notLeader(request, group);
            case OVERLOADED -> overloaded(request, String.valueOf(typed.getMessage()));
            default -> Replies.error(request, typed.type(), String.valueOf(typed.getMessage()));
        };
    }

    static Throwable unwrap(Throwable failure) {
        Throwable cause = failure.getCause();
        return failure instanceof CompletionException && cause != null ? cause : failure;
    }
}
