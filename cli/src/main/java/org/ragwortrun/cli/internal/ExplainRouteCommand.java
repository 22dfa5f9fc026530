package org.ragwortrun.cli.internal;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Option;
import org.apache.commons.cli.Options;
import org.ragwortrun.net.Address;
import org.ragwortrun.net.AddressException;
import org.ragwortrun.proto.Header;
import org.ragwortrun.proto.RouteCandidate;
import org.ragwortrun.proto.RouteExplanation;
import org.ragwortrun.proto.RouteQuery;

/** Shows where a running router would send a request now, and why. */
final class ExplainRouteCommand implements Command {
    private static final String ROUTER = "router";
    private static final String HOST = "host";
    private static final String PATH = "path";
    private static final String METHOD = "method";
    private static final String HEADER = "header";

    @Override
    public String name() {
        return "explain-route";
    }

    @Override
    public String arguments() {
        return "--router ADDRESS --host HOST --path PATH [--header NAME=VALUE]...";
    }

    @Override
    public String summary() {
        return "show where a router would send a request now, and why";
    }

    @Override
    public List<String> help() {
        return List.of(
                "Nothing is sent to an endpoint, and no token is reserved. Budgets are not checked.",
                "",
                "Example: ragwortrun explain-route --router 10.0.0.7:7101 --host api --path /v1/chat/completions");
    }

    @Override
    public Options options() {
        Option header = Option.builder()
                .longOpt(HEADER)
                .hasArg()
                .argName("NAME=VALUE")
                .desc("header of the request; may be repeated")
                .get();
        return CommonOptions.help()
                .addOption(CommonOptions.option(ROUTER, "ADDRESS", "peers.address of the router"))
                .addOption(CommonOptions.option(HOST, "HOST", "Host header of the request"))
                .addOption(CommonOptions.option(PATH, "PATH", "path of the request, with its query"))
                .addOption(CommonOptions.option(METHOD, "METHOD", "method of the request, default GET"))
                .addOption(header)
                .addOption(
                        CommonOptions.option(CommonOptions.TIMEOUT, "TIME", "longest wait for the router, default 5s"))
                .addOption(CommonOptions.flag(CommonOptions.JSON, "print JSON instead of text"));
    }

    @Override
    public ExitCode run(CommandLine line, Console console) throws CommandException {
        Arguments.requireCount(line, 0, 0, "no arguments");
        RouteExplanation e = RouterQuery.explain(router(line), query(line), CommonOptions.timeout(line));
        if (line.hasOption(CommonOptions.JSON)) {
            console.print(json(e));
        } else {
            print(e, console);
        }
        return e.getEndpoint().isEmpty() ? ExitCode.REFUSED : ExitCode.DONE;
    }

    private static Address router(CommandLine line) throws CommandException {
        try {
            return Address.parse(required(line, ROUTER));
        } catch (AddressException e) {
            throw new CommandException(ExitCode.USAGE, "--" + ROUTER + ": " + e.getMessage(), e);
        }
    }

    private static RouteQuery query(CommandLine line) throws CommandException {
        RouteQuery.Builder query = RouteQuery.newBuilder()
                .setHost(required(line, HOST))
                .setPath(required(line, PATH))
                .setMethod(line.getOptionValue(METHOD, "GET"));
        String[] headers = line.getOptionValues(HEADER);
        for (String text : headers == null ? new String[0] : headers) {
            int equals = text.indexOf('=');
            if (equals <= 0) {
                throw new CommandException(ExitCode.USAGE, "--" + HEADER + " must be NAME=VALUE, not " + text);
            }
            query.addHeaders(
                    Header.newBuilder().setName(text.substring(0, equals)).setValue(text.substring(equals + 1)));
        }
        return query.build();
    }

    private static String required(CommandLine line, String option) throws CommandException {
        String value = line.getOptionValue(option);
        if (value == null || value.isBlank()) {
            throw new CommandException(ExitCode.USAGE, "--" + option + " is required");
        }
        return value;
    }

    private static void print(RouteExplanation e, Console console) {
        console.print("route " + orNone(e.getRoute()) + ", origin " + orNone(e.getOrigin()) + ", account "
                + orNone(e.getAccount()));
        console.print("configuration " + e.getConfigNumber() + ", endpoint list " + e.getListAgeMs() + " ms old");
        console.print(
                e.getEndpoint().isEmpty()
                        ? "refused: " + e.getRefusal() + ": " + e.getDetail()
                        : "sent to " + e.getEndpoint());
        if (e.getQueuedBefore() > 0 || e.getWaitMs() > 0) {
            console.print("queue: " + e.getQueuedBefore() + " before it, expected wait " + e.getWaitMs() + " ms");
        }
        if (e.getCandidatesCount() > 0) {
            List<List<String>> rows = new ArrayList<>();
            rows.add(List.of(
                    "ENDPOINT", "DATA CENTER", "COST MS", "IN FLIGHT", "REPORTED", "CACHED", "PENDING", "EXCLUDED"));
            e.getCandidatesList().forEach(c -> rows.add(row(c)));
            console.table(rows);
        }
    }

    private static List<String> row(RouteCandidate c) {
        return List.of(
                c.getEndpoint(),
                c.getDataCenter(),
                String.format(Locale.ROOT, "%.1f", c.getCostMs()),
                Integer.toString(c.getInFlight()),
                Integer.toString(c.getReported()),
                Integer.toString(c.getCachedTokens()),
                Integer.toString(c.getPendingTokens()),
                c.getExcluded());
    }

    private static ObjectNode json(RouteExplanation e) {
        ObjectNode root = JsonNodeFactory.instance
                .objectNode()
                .put("route", e.getRoute())
                .put("origin", e.getOrigin())
                .put("account", e.getAccount())
                .put("configNumber", e.getConfigNumber())
                .put("listAgeMs", e.getListAgeMs())
                .put("endpoint", e.getEndpoint())
                .put("refusal", e.getRefusal())
                .put("detail", e.getDetail())
                .put("queuedBefore", e.getQueuedBefore())
                .put("waitMs", e.getWaitMs());
        ArrayNode candidates = root.putArray("candidates");
        e.getCandidatesList()
                .forEach(c -> candidates
                        .addObject()
                        .put("endpoint", c.getEndpoint())
                        .put("dataCenter", c.getDataCenter())
                        .put("excluded", c.getExcluded())
                        .put("costMs", c.getCostMs())
                        .put("inFlight", c.getInFlight())
                        .put("reported", c.getReported())
                        .put("cachedTokens", c.getCachedTokens())
                        .put("pendingTokens", c.getPendingTokens()));
        return root;
    }

    private static String orNone(String name) {
        return name.isEmpty() ? "none" : name;
    }
}
