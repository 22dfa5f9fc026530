package org.ragwortrun.cli.internal;

import java.util.List;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Options;
import org.ragwortrun.core.error.RagwortrunException;

/** A subcommand of the program. */
interface Command {
    String name();

    /** Returns the names of the arguments as shown in the usage line, such as {@code DIR}. */
    String arguments();

    /** Returns a summary of one line. */
    String summary();

    /** Returns the lines of the detailed help. */
    List<String> help();

    Options options();

    ExitCode run(CommandLine line, Console console) throws RagwortrunException;
}
