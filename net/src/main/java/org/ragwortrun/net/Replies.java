package org.ragwortrun.net;

import org.ragwortrun.proto.ErrorReply;
import org.ragwortrun.proto.Frame;

/** Builds replies to requests. */
public final class Replies {
    private Replies() {}

    /** Starts a reply that carries the request's call id. */
    public static Frame.Builder to(Frame request) {
        return Frame.newBuilder().setCall(request.getCall());
    }

    public static Frame error(Frame request, String type, String detail) {
        return to(request)
                .setError(ErrorReply.newBuilder().setType(type).setDetail(detail))
                .build();
    }
}
