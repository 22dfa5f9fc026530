package org.ragwortrun.cli;

import java.util.Set;
import org.ragwortrun.cli.internal.Program;

/** Entry of the program. */
public final class Main {
    private static final Set<String> DAEMONS = Set.of("router", "agent", "control");

    private Main() {}

    public static void main(String[] args) {
        // Set before the first logger is made: a command prints its own failures, a daemon logs its events.
        if (args.length == 0 || !DAEMONS.contains(args[0])) {
            System.setProperty("ragwortrun.log", "off");
        }
        int code = Program.standard(System.out, System.err).run(args);
        System.out.flush();
        System.exit(code);
    }
}
