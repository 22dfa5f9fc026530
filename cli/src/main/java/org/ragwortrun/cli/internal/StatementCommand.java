package org.ragwortrun.cli.internal;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.List;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Options;
import org.ragwortrun.core.id.Digests;
import org.ragwortrun.proto.BudgetStatement;
import org.ragwortrun.proto.Holding;
import org.ragwortrun.proto.ShardRequest;
import org.ragwortrun.proto.Statement;
import org.ragwortrun.proto.StatementQuery;

/** Shows the budgets of a client account. */
final class StatementCommand implements Command {
    @Override
    public String name() {
        return "statement";
    }

    @Override
    public String arguments() {
        return "ACCOUNT";
    }

    @Override
    public String summary() {
        return "show the budgets of a client account in tokens";
    }

    @Override
    public List<String> help() {
        return List.of(
                "prepaid = settled + held + available. Settled tokens are billed. Held tokens are granted to routers,",
                "which spend them or return them. Tokens held by a router that is gone return when every agent has",
                "confirmed that it refuses that router; agents that have not confirmed are listed as awaited.",
                "",
                "Example: ragwortrun statement dealer-17 --control 10.0.0.1:7001,10.0.0.2:7001");
    }

    @Override
    public Options options() {
        return CommonOptions.controlOptionsWithJson();
    }

    @Override
    public ExitCode run(CommandLine line, Console console) throws CommandException {
        String account = Arguments.requireCount(line, 1, 1, "one account").get(0);
        Statement statement;
        try (ControlSession session = ControlSession.open(line)) {
            ShardRequest query = ShardRequest.newBuilder()
                    .setGroup(Digests.shard(account, session.shardCount()))
                    .setStatement(StatementQuery.newBuilder().setAccount(account))
                    .build();
            statement = session.readShard(query).getStatement();
        }
        if (line.hasOption(CommonOptions.JSON)) {
            console.print(json(statement));
        } else if (statement.getKnown()) {
            print(statement, console);
        } else {
            console.printError("client account " + account + " has no budget");
        }
        return statement.getKnown() ? ExitCode.DONE : ExitCode.REFUSED;
    }

    private static void print(Statement statement, Console console) {
        List<List<String>> rows = new ArrayList<>();
        rows.add(List.of("service", "prepaid", "settled", "held", "available", "bills"));
        for (BudgetStatement b : statement.getBudgetsList()) {
            rows.add(List.of(
                    b.getBudget().getService(),
                    Long.toString(b.getPrepaid()),
                    Long.toString(b.getSettled()),
                    Long.toString(b.getHeld()),
                    Long.toString(available(b)),
                    Long.toString(b.getBills())));
        }
        console.table(rows);
        for (BudgetStatement b : statement.getBudgetsList()) {
            for (Holding h : b.getHoldingsList()) {
                console.print(b.getBudget().getService() + ": " + h.getTokens() + " held by " + h.getIncarnation()
                        + (h.getClosing() ? ", which is being fenced" : "")
                        + (h.getAwaitedAgentsCount() == 0
                                ? ""
                                : "; awaited agents: " + String.join(", ", h.getAwaitedAgentsList())));
            }
        }
    }

    private static ObjectNode json(Statement statement) {
        ObjectNode root = JsonNodeFactory.instance
                .objectNode()
                .put("account", statement.getAccount())
                .put("known", statement.getKnown());
        ArrayNode budgets = root.putArray("budgets");
        for (BudgetStatement b : statement.getBudgetsList()) {
            ObjectNode node = budgets.addObject()
                    .put("service", b.getBudget().getService())
                    .put("prepaid", b.getPrepaid())
                    .put("settled", b.getSettled())
                    .put("held", b.getHeld())
                    .put("available", available(b))
                    .put("bills", b.getBills());
            ArrayNode holdings = node.putArray("holdings");
            for (Holding h : b.getHoldingsList()) {
                ObjectNode holding = holdings.addObject()
                        .put("router", h.getRouter())
                        .put("incarnation", h.getIncarnation())
                        .put("tokens", h.getTokens())
                        .put("closing", h.getClosing());
                h.getAwaitedAgentsList().forEach(holding.withArray("awaitedAgents")::add);
            }
        }
        return root;
    }

    private static long available(BudgetStatement b) {
        return b.getPrepaid() - b.getSettled() - b.getHeld();
    }
}
