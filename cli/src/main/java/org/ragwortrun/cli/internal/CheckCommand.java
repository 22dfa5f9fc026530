package org.ragwortrun.cli.internal;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import java.util.List;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Options;
import org.ragwortrun.core.config.ConfigurationChecker;
import org.ragwortrun.core.config.ConfigurationError;
import org.ragwortrun.core.config.OperatorFiles;
import org.ragwortrun.core.time.Time;
import org.ragwortrun.proto.Section;

/** Checks configuration files without publishing them. */
final class CheckCommand implements Command {
    private final Time time;

    CheckCommand(Time time) {
        this.time = time;
    }

    @Override
    public String name() {
        return "check";
    }

    @Override
    public String arguments() {
        return "DIR";
    }

    @Override
    public String summary() {
        return "check the files of a folder without publishing them";
    }

    @Override
    public List<String> help() {
        return List.of(
                "Reads every *.ini file below DIR and prints each error with file, line, key and what was expected.",
                "With --control it also checks against the configuration in force: accepted top-ups must stay.",
                "",
                "Example: ragwortrun check config/");
    }

    @Override
    public Options options() {
        return CommonOptions.controlOptionsWithJson();
    }

    @Override
    public ExitCode run(CommandLine line, Console console) throws CommandException {
        OperatorFiles files = OperatorFiles.read(Arguments.folder(line));
        boolean withControl = CommonOptions.hasControl(line);
        List<ConfigurationError> errors = ConfigurationChecker.standard()
                .check(files, withControl ? inForce(line) : List.of(), time.wallMillis());
        if (line.hasOption(CommonOptions.JSON)) {
            console.print(JsonNodeFactory.instance
                    .objectNode()
                    .put("valid", errors.isEmpty())
                    .put("sections", files.sections().size())
                    .put("comparedWithControl", withControl)
                    .set("errors", FileReport.json(errors)));
        } else if (errors.isEmpty()) {
            console.print(files.sections().size() + " sections are valid"
                    + (withControl ? "" : "; not compared with the configuration in force (give --control)"));
        } else {
            FileReport.print(errors, console);
        }
        return errors.isEmpty() ? ExitCode.DONE : ExitCode.INVALID;
    }

    private static List<Section> inForce(CommandLine line) throws CommandException {
        try (ControlSession session = ControlSession.open(line)) {
            return session.configuration().getSectionsList();
        }
    }
}
