package org.ragwortrun.cli.internal;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.time.Instant;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Options;
import org.ragwortrun.core.config.SectionKind;
import org.ragwortrun.core.id.Digests;
import org.ragwortrun.core.refusal.RunOutcome;
import org.ragwortrun.proto.ExplainQuery;
import org.ragwortrun.proto.Explanation;
import org.ragwortrun.proto.RunState;
import org.ragwortrun.proto.Section;
import org.ragwortrun.proto.ShardReply;
import org.ragwortrun.proto.ShardRequest;

/** Shows the outcome of a request. */
final class ExplainCommand implements Command {
    // Concurrent queries, well below the capacity of the request queue of a control member.
    private static final int BATCH = 256;

    @Override
    public String name() {
        return "explain";
    }

    @Override
    public String arguments() {
        return "[ACCOUNT] REQUEST-ID";
    }

    @Override
    public String summary() {
        return "show whether a request ran, where, and what it cost";
    }

    @Override
    public List<String> help() {
        return List.of(
                "Without ACCOUNT it looks in all client accounts of the configuration in force.",
                "Request ids are remembered for 24 hours, or for the time set by control.id-retention.",
                "",
                "Example: ragwortrun explain dealer-17 1796400000-order-8 --control 10.0.0.1:7001");
    }

    @Override
    public Options options() {
        return CommonOptions.controlOptionsWithJson();
    }

    @Override
    public ExitCode run(CommandLine line, Console console) throws CommandException {
        List<String> args = Arguments.requireCount(line, 1, 2, "REQUEST-ID or ACCOUNT REQUEST-ID");
        String id = args.get(args.size() - 1);
        Map<String, Explanation> found = new LinkedHashMap<>();
        try (ControlSession session = ControlSession.open(line)) {
            int shards = session.shardCount();
            List<String> accounts = args.size() == 2 ? List.of(args.get(0)) : accounts(session);
            for (int i = 0; i < accounts.size(); i += BATCH) {
                query(session, accounts.subList(i, Math.min(accounts.size(), i + BATCH)), id, shards, found);
            }
        }
        if (line.hasOption(CommonOptions.JSON)) {
            console.print(json(id, found));
        } else if (found.isEmpty()) {
            console.printError("request " + id + " is not known; it was never registered, or its entry has expired");
        } else {
            found.forEach((account, e) -> print(account, id, e, console));
        }
        return found.isEmpty() ? ExitCode.REFUSED : ExitCode.DONE;
    }

    private static List<String> accounts(ControlSession session) throws CommandException {
        return session.configuration().getSectionsList().stream()
                .filter(s -> s.getKind().equals(SectionKind.ACCOUNT.text()))
                .map(Section::getName)
                .toList();
    }

    private static void query(
            ControlSession session, List<String> accounts, String id, int shards, Map<String, Explanation> found)
            throws CommandException {
        List<ShardRequest> queries = accounts.stream()
                .map(a -> ShardRequest.newBuilder()
                        .setGroup(Digests.shard(a, shards))
                        .setExplain(ExplainQuery.newBuilder().setAccount(a).setRequestId(id))
                        .build())
                .toList();
        List<CompletableFuture<ShardReply>> calls = new ArrayList<>();
        queries.forEach(q -> calls.add(session.readShardAsync(q).exceptionally(e -> ShardReply.getDefaultInstance())));
        for (int i = 0; i < calls.size(); i++) {
            ShardReply reply = calls.get(i).join();
            // A failed call is retried until the timeout of the session.
            Explanation e = (reply.hasExplanation() ? reply : session.readShard(queries.get(i))).getExplanation();
            if (e.getKnown()) {
                found.put(accounts.get(i), e);
            }
        }
    }

    private static void print(String account, String id, Explanation e, Console console) {
        console.print("request " + id + " of " + account + ": " + state(e));
        if (e.getClaimedMs() > 0) {
            console.print("  claimed at " + Instant.ofEpochMilli(e.getClaimedMs()) + ", attempt " + e.getAttempt()
                    + ", agent " + e.getAgent() + " (" + e.getAgentIncarnation() + ")");
        }
        if (e.getBilledMs() > 0) {
            console.print("  billed at " + Instant.ofEpochMilli(e.getBilledMs()) + ": "
                    + e.getUsage().getTokens() + " tokens for "
                    + e.getUsage().getBudget().getService() + " (prompt "
                    + e.getUsage().getPromptTokens() + ", output "
                    + e.getUsage().getOutputTokens() + "), version "
                    + e.getUsage().getVersion() + ", endpoint " + e.getUsage().getEndpoint() + ", status "
                    + e.getUsage().getStatus());
        } else {
            console.print("  not billed");
        }
    }

    private static ObjectNode json(String id, Map<String, Explanation> found) {
        ObjectNode root = JsonNodeFactory.instance.objectNode().put("requestId", id);
        ArrayNode all = root.putArray("requests");
        found.forEach((account, e) -> all.addObject()
                .put("account", account)
                .put("run", state(e))
                .put("attempt", e.getAttempt())
                .put("agent", e.getAgent())
                .put("agentIncarnation", e.getAgentIncarnation())
                .put("claimedMs", e.getClaimedMs())
                .put("billedMs", e.getBilledMs())
                .put("service", e.getUsage().getBudget().getService())
                .put("tokens", e.getUsage().getTokens())
                .put("promptTokens", e.getUsage().getPromptTokens())
                .put("outputTokens", e.getUsage().getOutputTokens())
                .put("endpoint", e.getUsage().getEndpoint())
                .put("version", e.getUsage().getVersion())
                .put("status", e.getUsage().getStatus()));
        return root;
    }

    private static String state(Explanation e) {
        return e.getRun() == RunState.RUN_RUNNING
                ? "running"
                : RunOutcome.of(e.getRun()).text();
    }
}
