package org.ragwortrun.control.internal;

import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.ragwortrun.core.concurrent.Causes;
import org.ragwortrun.core.error.RagwortrunException;
import org.ragwortrun.core.log.Event;
import org.ragwortrun.net.Peer;
import org.ragwortrun.net.Replies;
import org.ragwortrun.proto.ErrorReply;
import org.ragwortrun.proto.Frame;

/** Builds the replies to failed requests. */
final class FailureReplies {
    private static final Logger LOG = LogManager.getLogger(FailureReplies.class);
    private static final String OVERLOADED = "overloaded";
    private static final String NOT_LEADER = "not-leader";
    private static final int RETRY_AFTER_MS = 200;

    private FailureReplies() {}

    /** Returns the reply to a request for which the queue has no room. */
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

    /** Returns the reply to a request whose proposal failed. */
    static Frame of(Frame request, Group group, Throwable failure) {
        Throwable cause = Causes.of(failure);
        if (!(cause instanceof RagwortrunException typed)) {
            return Replies.error(request, "internal", String.valueOf(cause.getMessage()));
        }
        return switch (typed.type()) {
            case NOT_LEADER -> notLeader(request, group);
            case OVERLOADED -> overloaded(request, String.valueOf(typed.getMessage()));
            default -> Replies.error(request, typed.type(), String.valueOf(typed.getMessage()));
        };
    }

    /** Runs a handler and replies with a typed error if the handler throws. */
    @SuppressWarnings("PMD.AvoidCatchingGenericException")
    static void guard(Peer peer, Frame request, Runnable handler) {
        try {
            handler.run();
        } catch (RuntimeException e) {
            Event.of("request-failed").with("body", request.getBodyCase()).error(LOG, e);
            peer.send(Replies.error(request, "internal", String.valueOf(e.getMessage())));
        }
    }
}
