package org.ragwortrun.routing;

import com.google.protobuf.ByteString;
import org.ragwortrun.proto.CrashReport;

/** Knows which requests crash endpoints, by content digest and by request id. Used by one thread. */
public interface SuspectRegister {
    /** Crashes after which a request is refused for good. */
    int REFUSED_AFTER = 2;

    /** Notes a request that was on an endpoint when it crashed. Resent reports change nothing. */
    void onCrash(CrashReport report);

    /** Returns whether requests with this content are refused. Once true, it stays so. */
    boolean isRefused(ByteString digest);

    /** Returns whether the request with this id is refused, whatever its content. */
    boolean isRefused(String account, String requestId);
}
