package org.ragwortrun.control.internal;

import java.util.concurrent.CompletableFuture;
import org.ragwortrun.proto.StatusReply;

/** Asks the leased leader of the meta group for its status. */
@FunctionalInterface
public interface MetaLeaderClient {
    /** Fails if no leader answers in time. */
    CompletableFuture<StatusReply> status();
}
