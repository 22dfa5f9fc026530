package org.ragwortrun.cli.internal;

import java.time.DateTimeException;
import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.Map;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Option;
import org.apache.commons.cli.Options;
import org.ragwortrun.core.config.Durations;
import org.ragwortrun.net.Address;
import org.ragwortrun.net.AddressException;

/** Options that several commands share. */
final class CommonOptions {
    static final String HELP = "help";
    static final String CONTROL = "control";
    static final String CONTROL_VARIABLE = "RAGWORTRUN_CONTROL";
    static final String JSON = "json";
    static final String TIMEOUT = "timeout";
    private static final Duration DEFAULT_TIMEOUT = Duration.ofSeconds(5);

    private CommonOptions() {}

    static Options help() {
        return new Options()
                .addOption(Option.builder("h")
                        .longOpt(HELP)
                        .desc("print this help")
                        .get());
    }

    /** Returns the options of a command that calls control. */
    static Options controlOptions() {
        return help().addOption(option(
                        CONTROL,
                        "ADDRESSES",
                        "control members, such as c1=10.0.0.1:7001,c2=10.0.0.2:7001; the names are optional;"
                                + " default: the environment variable " + CONTROL_VARIABLE))
                .addOption(option(TIMEOUT, "TIME", "longest time to look for the leader, default 5s"));
    }

    /** Returns the options of a command that calls control and can print JSON. */
    static Options controlOptionsWithJson() {
        return controlOptions().addOption(flag(JSON, "print JSON instead of text"));
    }

    static Option option(String name, String argument, String description) {
        return Option.builder()
                .longOpt(name)
                .hasArg()
                .argName(argument)
                .desc(description)
                .get();
    }

    static Option flag(String name, String description) {
        return Option.builder().longOpt(name).desc(description).get();
    }

    /** Returns whether control members are given by the option or the environment variable. */
    static boolean hasControl(CommandLine line) {
        return !controlText(line).isBlank();
    }

    static Map<String, Address> controlMembers(CommandLine line) throws CommandException {
        String text = controlText(line);
        if (text.isBlank()) {
            throw new CommandException(
                    ExitCode.USAGE, "name the control members by --control or in " + CONTROL_VARIABLE);
        }
        Map<String, Address> members = new LinkedHashMap<>();
        for (String item : text.split(",", -1)) {
            int equals = item.indexOf('=');
            String address = item.substring(equals + 1).trim();
            String name = equals < 0 ? address : item.substring(0, equals).trim();
            try {
                members.put(name, Address.parse(address));
            } catch (AddressException e) {
                throw new CommandException(ExitCode.USAGE, "--" + CONTROL + ": " + e.getMessage(), e);
            }
        }
        return members;
    }

    static Duration timeout(CommandLine line) throws CommandException {
        return duration(line, TIMEOUT, DEFAULT_TIMEOUT);
    }

    static Duration duration(CommandLine line, String option, Duration fallback) throws CommandException {
        String text = line.getOptionValue(option);
        if (text == null) {
            return fallback;
        }
        try {
            return Durations.parse(text);
        } catch (DateTimeException e) {
            throw new CommandException(
                    ExitCode.USAGE, "--" + option + " must be a time such as 500ms or 10s, not " + text, e);
        }
    }

    private static String controlText(CommandLine line) {
        String fromVariable = System.getenv().getOrDefault(CONTROL_VARIABLE, "");
        return line.getOptionValue(CONTROL, fromVariable);
    }
}
