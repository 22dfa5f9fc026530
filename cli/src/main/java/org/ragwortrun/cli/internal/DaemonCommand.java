package org.ragwortrun.cli.internal;

import java.nio.file.Path;
import java.util.List;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Options;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.ragwortrun.core.concurrent.StopSignal;
import org.ragwortrun.core.error.RagwortrunException;
import org.ragwortrun.core.log.Event;
import org.ragwortrun.core.settings.Settings;
import org.ragwortrun.core.settings.SettingsException;

/** Starts a daemon and runs it until the process receives a stop signal. */
final class DaemonCommand implements Command {
    private static final Logger LOG = LogManager.getLogger(DaemonCommand.class);
    private static final String SETTINGS = "settings";

    private final String name;
    private final String summary;
    private final Starter starter;

    DaemonCommand(String name, String summary, Starter starter) {
        this.name = name;
        this.summary = summary;
        this.starter = starter;
    }

    @Override
    public String name() {
        return name;
    }

    @Override
    public String arguments() {
        return "";
    }

    @Override
    public String summary() {
        return summary;
    }

    @Override
    public List<String> help() {
        return List.of(
                "Runs until it gets SIGTERM, then stops gracefully. The keys of the settings file are described in",
                "docs/settings.md. Events go to standard error; RAGWORTRUN_LOG=debug prints more of them.",
                "",
                "Example: ragwortrun " + name + " --settings " + name + ".ini");
    }

    @Override
    public Options options() {
        return CommonOptions.help().addOption(CommonOptions.option(SETTINGS, "FILE", "settings of this daemon (INI)"));
    }

    @Override
    public ExitCode run(CommandLine line, Console console) throws RagwortrunException {
        String file = line.getOptionValue(SETTINGS);
        if (file == null) {
            throw new CommandException(ExitCode.USAGE, "--" + SETTINGS + " FILE is required");
        }
        AutoCloseable daemon;
        try {
            daemon = starter.start(Settings.read(Path.of(file)));
        } catch (SettingsException e) {
            e.problems().forEach(p -> console.printError(file + ": " + p));
            return ExitCode.INVALID;
        } catch (RagwortrunException e) {
            Event.of("start-failed").with("daemon", name).with("type", e.type()).error(LOG, e);
            return ExitCode.REFUSED;
        }
        StopSignal.runUntilStopped(daemon, ExitCode.DONE.number());
        return ExitCode.DONE;
    }

    /** Starts a daemon from its settings. */
    @FunctionalInterface
    interface Starter {
        AutoCloseable start(Settings settings) throws RagwortrunException;
    }
}
