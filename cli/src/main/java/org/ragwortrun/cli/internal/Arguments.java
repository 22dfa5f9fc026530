package org.ragwortrun.cli.internal;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.apache.commons.cli.CommandLine;

/** Reads the arguments of commands. */
final class Arguments {
    private Arguments() {}

    /** Returns the arguments if their number is right. */
    static List<String> between(CommandLine line, int least, int most, String expected) throws CommandException {
        List<String> all = line.getArgList();
        if (all.size() < least || all.size() > most) {
            throw new CommandException(ExitCode.USAGE, "expected " + expected + ", got " + all.size() + " arguments");
        }
        return all;
    }

    static Path folder(CommandLine line) throws CommandException {
        Path folder = Path.of(between(line, 1, 1, "one folder").get(0));
        if (!Files.isDirectory(folder)) {
            throw new CommandException(ExitCode.USAGE, folder + " is not a folder");
        }
        return folder;
    }
}
