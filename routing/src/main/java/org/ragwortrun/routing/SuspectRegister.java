package org.ragwortrun.routing;

import com.google.protobuf.ByteString;
import org.ragwortrun.proto.CrashReport;

/** Tracks which requests crash endpoints, by content digest and by request id. Not thread-safe. */
public interface SuspectRegister {
    /** Number of crashes after which a request is refused permanently. */
    int REFUSAL_THRESHOLD = 2;

    /** Records a request that was running on an endpoint when it crashed. Repeated reports have no effect. */
    void onCrash(CrashReport report);

    /** Returns whether requests with this content are refused. Once true, it remains true. */
    boolean isRefused(ByteString digest);

    /** Returns whether the request with this id is refused, regardless of its content. */
    boolean isRefused(String account, String requestId);
}
