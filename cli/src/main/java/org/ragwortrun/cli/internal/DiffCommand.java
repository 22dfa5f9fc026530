package org.ragwortrun.cli.internal;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import java.util.Locale;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Options;
import org.ragwortrun.core.config.OperatorFiles;
import org.ragwortrun.proto.ConfigReply;

/** Shows what publishing a folder would change. */
final class DiffCommand implements Command {
    @Override
    public String name() {
        return "diff";
    }

    @Override
    public String arguments() {
        return "DIR";
    }

    @Override
    public String summary() {
        return "show what a publish of a folder would change";
    }

    @Override
    public List<String> help() {
        return List.of(
                "Prints one line for each difference: + added, - removed, ~ changed.",
                "",
                "Example: ragwortrun diff config/ --control 10.0.0.1:7001,10.0.0.2:7001");
    }

    @Override
    public Options options() {
        return CommonOptions.controlOptionsWithJson();
    }

    @Override
    public ExitCode run(CommandLine line, Console console) throws CommandException {
        OperatorFiles files = OperatorFiles.read(Arguments.folder(line));
        if (!files.errors().isEmpty()) {
            FileReport.print(files.errors(), console);
            return ExitCode.INVALID;
        }
        try (ControlSession session = ControlSession.open(line)) {
            ConfigReply inForce = session.configuration();
            List<Difference> differences = Difference.between(inForce.getSectionsList(), files.sections());
            if (line.hasOption(CommonOptions.JSON)) {
                console.print(json(inForce.getNumber(), differences));
            } else {
                differences.forEach(d -> console.print(d.toString()));
                console.print(differences.size() + " differences to number " + inForce.getNumber());
            }
        }
        return ExitCode.DONE;
    }

    private static ObjectNode json(long number, List<Difference> differences) {
        ObjectNode root = JsonNodeFactory.instance.objectNode().put("number", number);
        ArrayNode all = root.putArray("differences");
        for (Difference d : differences) {
            all.addObject()
                    .put("change", d.change().name().toLowerCase(Locale.ROOT))
                    .put("section", d.section())
                    .put("key", d.key())
                    .put("before", d.before())
                    .put("after", d.after());
        }
        return root;
    }
}
