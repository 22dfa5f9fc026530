package org.ragwortrun.cli.internal;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Options;
import org.ragwortrun.core.config.SectionKind;
import org.ragwortrun.proto.Frame;
import org.ragwortrun.proto.MoveProgress;
import org.ragwortrun.proto.MovesQuery;
import org.ragwortrun.proto.MovesReply;
import org.ragwortrun.proto.Section;
import org.ragwortrun.proto.VersionDecision;

/** Shows the moves of traffic and the decisions on versions. */
final class MovesCommand implements Command {
    private static final double PERMILLE_OF_PERCENT = 10.0;

    @Override
    public String name() {
        return "moves";
    }

    @Override
    public String arguments() {
        return "";
    }

    @Override
    public String summary() {
        return "show the moves of traffic between versions and the versions that are blocked";
    }

    @Override
    public List<String> help() {
        return List.of(
                "States: waiting (not started), running, done, late (too little evidence to finish in time),",
                "taken-back (rolled back: the new version failed and gets no traffic).",
                "",
                "Example: ragwortrun moves --control 10.0.0.1:7001,10.0.0.2:7001");
    }

    @Override
    public Options options() {
        return CommonOptions.controlOptionsWithJson();
    }

    @Override
    public ExitCode run(CommandLine line, Console console) throws CommandException {
        Arguments.requireCount(line, 0, 0, "no argument");
        List<Section> sections;
        MovesReply reply;
        try (ControlSession session = ControlSession.open(line)) {
            sections = session.configuration().getSectionsList().stream()
                    .filter(s -> s.getKind().equals(SectionKind.MOVE.text()))
                    .toList();
            Frame.Builder query = Frame.newBuilder().setMovesQuery(MovesQuery.getDefaultInstance());
            reply = session.read(0, query, Frame::hasMovesReply).getMovesReply();
        }
        if (line.hasOption(CommonOptions.JSON)) {
            console.print(json(sections, reply));
        } else {
            print(sections, reply, console);
        }
        return ExitCode.DONE;
    }

    private static void print(List<Section> sections, MovesReply reply, Console console) {
        Map<String, MoveProgress> progress = progress(reply);
        List<List<String>> rows = new ArrayList<>();
        rows.add(List.of("move", "service", "from", "to", "share", "target", "state", "finish", "reason"));
        for (Section s : sections) {
            MoveProgress p = progress.getOrDefault(s.getName(), MoveProgress.getDefaultInstance());
            rows.add(List.of(
                    s.getName(),
                    s.getPropertiesOrDefault("service", ""),
                    s.getPropertiesOrDefault("from", ""),
                    s.getPropertiesOrDefault("to", ""),
                    p.getSharePermille() / PERMILLE_OF_PERCENT + "%",
                    s.getPropertiesOrDefault("share", "100%"),
                    state(p),
                    s.getPropertiesOrDefault("finish", ""),
                    p.getReason()));
        }
        console.table(rows);
        for (VersionDecision d : reply.getDecisionsList()) {
            console.print("version " + d.getVersion() + " of " + d.getService()
                    + (d.getBlocked() ? " is blocked since " : " is allowed since ")
                    + Instant.ofEpochMilli(d.getAtMs()) + ": " + d.getReason());
        }
    }

    private static ObjectNode json(List<Section> sections, MovesReply reply) {
        Map<String, MoveProgress> progress = progress(reply);
        ObjectNode root = JsonNodeFactory.instance.objectNode();
        ArrayNode moves = root.putArray("moves");
        for (Section s : sections) {
            MoveProgress p = progress.getOrDefault(s.getName(), MoveProgress.getDefaultInstance());
            moves.addObject()
                    .put("name", s.getName())
                    .put("service", s.getPropertiesOrDefault("service", ""))
                    .put("from", s.getPropertiesOrDefault("from", ""))
                    .put("to", s.getPropertiesOrDefault("to", ""))
                    .put("state", state(p))
                    .put("sharePermille", p.getSharePermille())
                    .put("finish", s.getPropertiesOrDefault("finish", ""))
                    .put("reason", p.getReason())
                    .put("atMs", p.getAtMs());
        }
        ArrayNode decisions = root.putArray("decisions");
        for (VersionDecision d : reply.getDecisionsList()) {
            decisions
                    .addObject()
                    .put("service", d.getService())
                    .put("version", d.getVersion())
                    .put("blocked", d.getBlocked())
                    .put("reason", d.getReason())
                    .put("atMs", d.getAtMs());
        }
        return root;
    }

    private static Map<String, MoveProgress> progress(MovesReply reply) {
        Map<String, MoveProgress> byMove = new HashMap<>();
        reply.getMovesList().forEach(p -> byMove.put(p.getMove(), p));
        return byMove;
    }

    private static String state(MoveProgress p) {
        return switch (p.getState()) {
            case MOVE_RUNNING -> "running";
            case MOVE_DONE -> "done";
            case MOVE_TAKEN_BACK -> "taken-back";
            case MOVE_LATE -> "late";
            default -> "waiting";
        };
    }
}
