package org.ragwortrun.control.internal;

import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import org.ragwortrun.proto.ExplainQuery;
import org.ragwortrun.proto.Explanation;
import org.ragwortrun.proto.ShardCommand;
import org.ragwortrun.proto.ShardResult;
import org.ragwortrun.proto.ShardSummary;
import org.ragwortrun.proto.Statement;

/** A group that owns budgets, bills and request ids. Reads are current only under a lease. */
public interface ShardGroup extends Group {
    /** Proposes a command with the time of this member. Fails as a replicated group does. */
    CompletableFuture<ShardResult> propose(ShardCommand.Builder command);

    Statement statement(String account);

    Explanation explain(ExplainQuery query);

    ShardSummary summary();

    /** Returns the sessions that are neither closed nor closing. */
    List<RouterSession> openSessions();

    /** Returns the agents that have yet to confirm, by closing incarnation. */
    Map<String, List<String>> awaitedAgents();
}
