package org.ragwortrun.control.internal;

import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.ragwortrun.ledger.SessionState;
import org.ragwortrun.proto.ShardCommand;
import org.ragwortrun.proto.ShardReply;
import org.ragwortrun.proto.ShardRequest;
import org.ragwortrun.proto.ShardResult;

/** A group that owns budgets, bills and request ids. Reads are current only under a lease. */
public interface ShardGroup extends Group {
    /** Proposes a command, stamped with the time of this member. Fails in the same ways as a replicated group. */
    CompletableFuture<ShardResult> propose(ShardCommand.Builder command);

    /** Returns the reply to a read. */
    ShardReply query(ShardRequest request);

    /** Returns the sessions of router incarnations, including closed ones that are still stored. */
    List<SessionState> sessions();
}
