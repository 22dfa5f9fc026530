package org.ragwortrun.cli;

import java.util.Set;
import org.ragwortrun.cli.internal.Program;

/** Entry point of the program. */
public final class Main {
    private static final Set<String> DAEMONS = Set.of("router", "agent", "control");

    private Main() {}

    public static void main(String[] args) {
        // Must be set before the first logger is created. Commands print their own errors, only daemons log events.
        if (args.length == 0 || !DAEMONS.contains(args[0])) {
            System.setProperty("ragwortrun.log", "off");
        }
        int code = Program.standard(System.out, System.err).run(args);
        System.out.flush();
        System.exit(code);
    }
}
