package org.ragwortrun.cli.internal;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Options;
import org.ragwortrun.proto.DaemonState;
import org.ragwortrun.proto.Evacuation;
import org.ragwortrun.proto.GroupState;
import org.ragwortrun.proto.StatusReply;

/** Shows the control groups, the daemons and the configuration in force. */
final class StatusCommand implements Command {
    @Override
    public String name() {
        return "status";
    }

    @Override
    public String arguments() {
        return "";
    }

    @Override
    public String summary() {
        return "show the control groups, the daemons and their configuration, and the evacuations";
    }

    @Override
    public List<String> help() {
        return List.of(
                "A daemon without a lease refuses new work until it reaches control again.",
                "If control has no leader, the view of one member is shown and the exit code is 4.",
                "",
                "Example: ragwortrun status --control 10.0.0.1:7001,10.0.0.2:7001");
    }

    @Override
    public Options options() {
        return CommonOptions.controlOptionsWithJson();
    }

    @Override
    public ExitCode run(CommandLine line, Console console) throws CommandException {
        Arguments.requireCount(line, 0, 0, "no argument");
        StatusReply status;
        try (ControlSession session = ControlSession.open(line)) {
            status = session.status();
        }
        boolean fromLeader = ControlSession.isFromLeader(status);
        if (line.hasOption(CommonOptions.JSON)) {
            console.print(json(status, fromLeader));
        } else {
            print(status, fromLeader, console);
        }
        return fromLeader ? ExitCode.DONE : ExitCode.UNREACHABLE;
    }

    private static void print(StatusReply s, boolean fromLeader, Console console) {
        if (!fromLeader) {
            console.printError("control has no leader; this is the view of member " + s.getMember());
        }
        console.print("configuration " + s.getConfigNumber()
                + (s.getConfigInForce() ? " is in force everywhere" : " is not known to be in force everywhere"));
        List<List<String>> groups = new ArrayList<>();
        groups.add(List.of("group", "leader", "term", "commit", "snapshot", "voters", "learners"));
        for (GroupState g : s.getGroupsList()) {
            groups.add(List.of(
                    g.getGroup() == 0 ? "meta" : "shard " + g.getGroup(),
                    g.getLeader().isEmpty() ? "none" : g.getLeader(),
                    Long.toString(g.getTerm()),
                    Long.toString(g.getCommitIndex()),
                    Long.toString(g.getSnapshotIndex()),
                    String.join(",", g.getVotersList()),
                    String.join(",", g.getLearnersList())));
        }
        console.print("");
        console.table(groups);
        List<List<String>> daemons = new ArrayList<>();
        daemons.add(List.of("daemon", "role", "data center", "configuration", "lease", "incarnation"));
        for (DaemonState d : s.getDaemonsList()) {
            daemons.add(List.of(
                    d.getName(),
                    role(d),
                    d.getDataCenter(),
                    Long.toString(d.getConfigNumber()),
                    d.getLeaseValid() ? "valid" : "none",
                    d.getIncarnation()));
        }
        console.print("");
        console.table(daemons);
        if (s.getEvacuationsCount() > 0) {
            console.print("");
            console.table(evacuations(s));
        }
    }

    private static List<List<String>> evacuations(StatusReply s) {
        List<List<String>> rows = new ArrayList<>();
        rows.add(List.of("data center", "evacuation", "configuration", "since"));
        for (Evacuation e : s.getEvacuationsList()) {
            rows.add(List.of(
                    e.getDataCenter(),
                    e.getActive() ? "active" : "ended",
                    Long.toString(e.getNumber()),
                    Instant.ofEpochMilli(e.getChangedMs()).toString()));
        }
        return rows;
    }

    private static ObjectNode json(StatusReply s, boolean fromLeader) {
        ObjectNode root = JsonNodeFactory.instance
                .objectNode()
                .put("member", s.getMember())
                .put("leader", fromLeader)
                .put("number", s.getConfigNumber())
                .put("inForce", s.getConfigInForce());
        ArrayNode groups = root.putArray("groups");
        for (GroupState g : s.getGroupsList()) {
            ObjectNode node = groups.addObject()
                    .put("group", g.getGroup())
                    .put("leader", g.getLeader())
                    .put("term", g.getTerm())
                    .put("commitIndex", g.getCommitIndex())
                    .put("snapshotIndex", g.getSnapshotIndex())
                    .put("leased", g.getLeased());
            g.getVotersList().forEach(node.withArray("voters")::add);
            g.getLearnersList().forEach(node.withArray("learners")::add);
        }
        ArrayNode daemons = root.putArray("daemons");
        for (DaemonState d : s.getDaemonsList()) {
            daemons.addObject()
                    .put("name", d.getName())
                    .put("role", role(d))
                    .put("dataCenter", d.getDataCenter())
                    .put("incarnation", d.getIncarnation())
                    .put("number", d.getConfigNumber())
                    .put("leaseValid", d.getLeaseValid());
        }
        ArrayNode evacuations = root.putArray("evacuations");
        for (Evacuation e : s.getEvacuationsList()) {
            evacuations
                    .addObject()
                    .put("dataCenter", e.getDataCenter())
                    .put("active", e.getActive())
                    .put("number", e.getNumber())
                    .put("changedMs", e.getChangedMs());
        }
        return root;
    }

    private static String role(DaemonState d) {
        return d.getRole().name().toLowerCase(Locale.ROOT);
    }
}
