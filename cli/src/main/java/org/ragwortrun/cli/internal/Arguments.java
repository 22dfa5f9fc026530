package org.ragwortrun.cli.internal;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.apache.commons.cli.CommandLine;

/** Reads and validates the arguments of commands. */
final class Arguments {
    private Arguments() {}

    /**
     * Returns the arguments of a command.
     *
     * @throws CommandException if there are fewer than {@code min} or more than {@code max}
     */
    static List<String> requireCount(CommandLine line, int min, int max, String expected) throws CommandException {
        List<String> all = line.getArgList();
        if (all.size() < min || all.size() > max) {
            throw new CommandException(ExitCode.USAGE, "expected " + expected + ", got " + all.size() + " arguments");
        }
        return all;
    }

    static Path folder(CommandLine line) throws CommandException {
        Path folder = Path.of(requireCount(line, 1, 1, "one folder").get(0));
        if (!Files.isDirectory(folder)) {
            throw new CommandException(ExitCode.USAGE, folder + " is not a folder");
        }
        return folder;
    }
}
