package org.ragwortrun.cli.internal;

import java.util.List;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Options;
import org.ragwortrun.core.error.RagwortrunException;

/** A subcommand of the program. */
interface Command {
    String name();

    /** Returns the names of its arguments, as in {@code DIR}. */
    String arguments();

    /** Returns one line on what it does. */
    String summary();

    /** Returns further help, one line an entry. */
    List<String> help();

    Options options();

    ExitCode run(CommandLine line, Console console) throws RagwortrunException;
}
