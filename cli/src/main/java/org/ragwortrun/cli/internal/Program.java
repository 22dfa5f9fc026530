package org.ragwortrun.cli.internal;

import java.io.PrintStream;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.DefaultParser;
import org.apache.commons.cli.Option;
import org.apache.commons.cli.Options;
import org.apache.commons.cli.ParseException;
import org.ragwortrun.agent.AgentDaemon;
import org.ragwortrun.control.ControlDaemon;
import org.ragwortrun.core.error.RagwortrunException;
import org.ragwortrun.core.time.Time;
import org.ragwortrun.router.RouterDaemon;

/** Selects the subcommand, prints help and maps failures to exit codes. */
public final class Program {
    private static final int NAME_WIDTH = 15;
    private static final int OPTION_WIDTH = 26;

    private final List<Command> commands;
    private final Console console;

    Program(List<Command> commands, Console console) {
        this.commands = List.copyOf(commands);
        this.console = console;
    }

    /** Creates the program with all its commands. */
    public static Program standard(PrintStream out, PrintStream err) {
        Time time = Time.system();
        return new Program(
                List.of(
                        new CheckCommand(time),
                        new DiffCommand(),
                        new PublishCommand(time),
                        new StatusCommand(),
                        new MovesCommand(),
                        new EvacuateCommand(),
                        new StatementCommand(),
                        new ExplainCommand(),
                        new ExplainRouteCommand(),
                        new DaemonCommand("router", "run a router on an entry host", RouterDaemon::start),
                        new DaemonCommand("agent", "run an agent beside an endpoint", AgentDaemon::start),
                        new DaemonCommand("control", "run a control member", ControlDaemon::start)),
                new Console(out, err));
    }

    /** Runs the command line and returns the exit code. */
    public int run(String... args) {
        if (args.length == 0) {
            printHelp();
            return ExitCode.USAGE.number();
        }
        if (List.of("help", "-h", "--help").contains(args[0])) {
            printHelp();
            return ExitCode.DONE.number();
        }
        Optional<Command> command =
                commands.stream().filter(c -> c.name().equals(args[0])).findFirst();
        if (command.isEmpty()) {
            console.printError("unknown command " + args[0] + "; see ragwortrun --help");
            return ExitCode.USAGE.number();
        }
        return run(command.get(), Arrays.copyOfRange(args, 1, args.length)).number();
    }

    private ExitCode run(Command command, String... args) {
        if (Arrays.asList(args).contains("--help") || Arrays.asList(args).contains("-h")) {
            printHelp(command);
            return ExitCode.DONE;
        }
        try {
            CommandLine line = new DefaultParser().parse(command.options(), args);
            return command.run(line, console);
        } catch (ParseException e) {
            console.printError(e.getMessage() + "; see ragwortrun " + command.name() + " --help");
            return ExitCode.USAGE;
        } catch (CommandException e) {
            console.printError(String.valueOf(e.getMessage()));
            return e.code();
        } catch (RagwortrunException e) {
            console.printError(e.type() + ": " + e.getMessage());
            return ExitCode.REFUSED;
        }
    }

    private void printHelp() {
        console.print("Usage: ragwortrun COMMAND [OPTIONS]");
        console.print("");
        console.print("Commands for operators:");
        commands.stream().filter(c -> !(c instanceof DaemonCommand)).forEach(this::printSummary);
        console.print("");
        console.print("Daemons:");
        commands.stream().filter(DaemonCommand.class::isInstance).forEach(this::printSummary);
        console.print("");
        console.print("A first change: edit the files, then");
        console.print("  ragwortrun check DIR      are the files valid?");
        console.print("  ragwortrun diff DIR       what would change?");
        console.print("  ragwortrun publish DIR    publish, and wait until it is in force everywhere");
        console.print("  ragwortrun moves          is a move of traffic done, or was it rolled back?");
        console.print("");
        console.print("Help on a command: ragwortrun COMMAND --help. More: docs/operators.md");
        printExitCodes();
    }

    private void printHelp(Command command) {
        console.print("Usage: ragwortrun " + command.name()
                + (command.arguments().isEmpty() ? "" : " " + command.arguments()) + " [OPTIONS]");
        console.print("");
        console.print(Character.toUpperCase(command.summary().charAt(0))
                + command.summary().substring(1) + ".");
        command.help().forEach(console::print);
        console.print("");
        console.print("Options:");
        Options options = command.options();
        options.getOptions()
                .forEach(o -> console.print("  " + pad(optionSyntax(o), OPTION_WIDTH) + o.getDescription()));
        printExitCodes();
    }

    private void printExitCodes() {
        console.print("");
        console.print("Exit codes:");
        Arrays.stream(ExitCode.values()).forEach(c -> console.print("  " + c.number() + "  " + c.meaning()));
    }

    private void printSummary(Command command) {
        console.print("  " + pad(command.name(), NAME_WIDTH) + command.summary());
    }

    private static String optionSyntax(Option option) {
        String name = "--" + option.getLongOpt();
        return option.hasArg() ? name + " " + option.getArgName() : name;
    }

    private static String pad(String text, int width) {
        return text + " ".repeat(Math.max(1, width - text.length()));
    }
}
