package org.ragwortrun.cli.internal;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Options;
import org.apache.commons.codec.digest.DigestUtils;
import org.ragwortrun.core.config.ConfigurationChecker;
import org.ragwortrun.core.config.ConfigurationError;
import org.ragwortrun.core.config.OperatorFiles;
import org.ragwortrun.core.config.SourceSection;
import org.ragwortrun.core.time.Time;
import org.ragwortrun.net.TransportException;
import org.ragwortrun.proto.ConfigError;
import org.ragwortrun.proto.ConfigReply;
import org.ragwortrun.proto.Frame;
import org.ragwortrun.proto.Publish;
import org.ragwortrun.proto.PublishReply;
import org.ragwortrun.proto.Section;

/** Publishes the configuration files of a folder. */
final class PublishCommand implements Command {
    private static final String BASED_ON = "based-on";
    private static final String PUBLISH_ID = "publish-id";
    private static final String OPERATOR = "operator";
    private static final String WAIT = "wait";
    private static final Duration DEFAULT_WAIT = Duration.ofSeconds(10);

    private final Time time;

    PublishCommand(Time time) {
        this.time = time;
    }

    @Override
    public String name() {
        return "publish";
    }

    @Override
    public String arguments() {
        return "DIR";
    }

    @Override
    public String summary() {
        return "publish the files of a folder and wait until they are in force everywhere";
    }

    @Override
    public List<String> help() {
        return List.of(
                "The files are checked first; if one is invalid, nothing changes. The publish is accepted only if no",
                "one else has published since the number that it is based on. Otherwise it is a conflict: look at",
                "the difference (ragwortrun diff DIR), merge, and publish again.",
                "",
                "If the answer is lost, run the printed command: the same publish id gets the first answer.",
                "",
                "Example: ragwortrun publish config/ --control 10.0.0.1:7001,10.0.0.2:7001");
    }

    @Override
    public Options options() {
        return CommonOptions.controlOptionsWithJson()
                .addOption(CommonOptions.option(
                        BASED_ON, "N", "number that the files are based on; default: the current number"))
                .addOption(CommonOptions.option(
                        PUBLISH_ID, "ID", "id of this publish; default: a digest of files, number and operator"))
                .addOption(CommonOptions.option(OPERATOR, "NAME", "who publishes; default: the user name"))
                .addOption(CommonOptions.option(
                        WAIT, "TIME", "longest time to wait until it is in force everywhere, default 10s"));
    }

    @Override
    public ExitCode run(CommandLine line, Console console) throws CommandException {
        OperatorFiles files = OperatorFiles.read(Arguments.folder(line));
        Duration wait = CommonOptions.duration(line, WAIT, DEFAULT_WAIT);
        try (ControlSession session = ControlSession.open(line)) {
            ConfigReply current = session.configuration();
            boolean given = line.hasOption(BASED_ON);
            long basedOn = given ? parseNumber(line.getOptionValue(BASED_ON)) : current.getNumber();
            List<ConfigurationError> errors = check(files, basedOn, current);
            if (!errors.isEmpty()) {
                return invalid(line, console, errors);
            }
            boolean same = Difference.between(current.getSectionsList(), files.sections())
                    .isEmpty();
            if (!given && same && current.getNumber() > 0) {
                return unchanged(line, console, current.getNumber());
            }
            Publish publish = publish(line, files.sections(), basedOn, wait);
            return send(session, publish, wait, files, line, console);
        }
    }

    private List<ConfigurationError> check(OperatorFiles files, long basedOn, ConfigReply current) {
        // A publish that is based on another number may resend an accepted one, so only control can decide on it.
        if (basedOn != current.getNumber()) {
            return files.errors();
        }
        return ConfigurationChecker.standard().check(files, current.getSectionsList(), time.wallMillis());
    }

    private static Publish publish(CommandLine line, List<Section> sections, long basedOn, Duration wait) {
        String operator = line.getOptionValue(OPERATOR, System.getProperty("user.name", "unknown"));
        return Publish.newBuilder()
                .setBasedOn(basedOn)
                .setOperator(operator)
                .setPublishId(line.getOptionValue(PUBLISH_ID, digest(sections, basedOn, operator)))
                .setWaitMs((int) Math.min(wait.toMillis(), Integer.MAX_VALUE))
                .addAllSections(sections)
                .build();
    }

    private static ExitCode send(
            ControlSession session,
            Publish publish,
            Duration wait,
            OperatorFiles files,
            CommandLine line,
            Console console)
            throws CommandException {
        Frame reply;
        try {
            reply = session.sendOnce(0, Frame.newBuilder().setPublish(publish), wait.plus(session.timeout()));
        } catch (TransportException e) {
            if (e.kind() == TransportException.Kind.NOT_SENT) {
                throw ControlSession.unreachable(e);
            }
            throw new CommandException(
                    ExitCode.UNREACHABLE, lostAnswerMessage(publish, String.valueOf(e.getMessage())), e);
        }
        if (!reply.hasPublishReply()) {
            throw "proposal-lost".equals(reply.getError().getType())
                    ? new CommandException(
                            ExitCode.UNREACHABLE,
                            lostAnswerMessage(publish, reply.getError().getDetail()))
                    : ControlSession.refused(reply);
        }
        return report(reply.getPublishReply(), files, line, console);
    }

    private static String lostAnswerMessage(Publish publish, String cause) {
        return "the answer was lost (" + cause + "); it is not known whether the publish was accepted.\n"
                + "Run the same command with --based-on " + publish.getBasedOn() + " --publish-id "
                + publish.getPublishId() + " to get its answer.";
    }

    private static ExitCode report(PublishReply reply, OperatorFiles files, CommandLine line, Console console) {
        if (reply.getOutcome() == PublishReply.Outcome.INVALID) {
            return invalid(line, console, withLines(reply.getErrorsList(), files));
        }
        boolean accepted = reply.getOutcome() == PublishReply.Outcome.ACCEPTED;
        if (line.hasOption(CommonOptions.JSON)) {
            ObjectNode json = JsonNodeFactory.instance
                    .objectNode()
                    .put("outcome", reply.getOutcome().name().toLowerCase(Locale.ROOT))
                    .put("number", reply.getNumber())
                    .put("inForce", reply.getInForce())
                    .put("resent", reply.getResent());
            reply.getAwaitedDaemonsList().forEach(json.withArray("awaitedDaemons")::add);
            console.print(json);
        } else if (accepted) {
            console.print(acceptedMessage(reply));
        } else {
            console.printError("conflict: someone else has published; the current number is " + reply.getNumber()
                    + ". Nothing was changed. Run diff, merge, and publish again.");
        }
        return accepted ? ExitCode.DONE : ExitCode.REFUSED;
    }

    private static String acceptedMessage(PublishReply reply) {
        String text = "accepted as number " + reply.getNumber()
                + (reply.getResent() ? " (by an earlier publish with the same id)" : "");
        if (reply.getInForce()) {
            return text + ", in force everywhere";
        }
        String awaited = String.join(", ", reply.getAwaitedDaemonsList());
        return text + ", not known to be in force everywhere yet"
                + (awaited.isEmpty() ? "" : "; awaited: " + awaited)
                + "\nNothing has to be repeated; watch it with: ragwortrun status";
    }

    private static ExitCode unchanged(CommandLine line, Console console, long number) {
        if (line.hasOption(CommonOptions.JSON)) {
            console.print(JsonNodeFactory.instance
                    .objectNode()
                    .put("outcome", "unchanged")
                    .put("number", number));
        } else {
            console.print("nothing to publish: number " + number + " has the same content");
        }
        return ExitCode.DONE;
    }

    private static ExitCode invalid(CommandLine line, Console console, List<ConfigurationError> errors) {
        if (line.hasOption(CommonOptions.JSON)) {
            console.print(JsonNodeFactory.instance
                    .objectNode()
                    .put("outcome", "invalid")
                    .set("errors", FileReport.json(errors)));
        } else {
            FileReport.print(errors, console);
        }
        return ExitCode.INVALID;
    }

    /** Adds the line numbers of the keys, which control does not know. */
    private static List<ConfigurationError> withLines(List<ConfigError> errors, OperatorFiles files) {
        Map<String, SourceSection> byName = new HashMap<>();
        files.sources()
                .forEach(s ->
                        byName.put(s.section().getKind() + " " + s.section().getName(), s));
        return errors.stream()
                .map(e -> {
                    SourceSection source = byName.get(e.getSection());
                    int at = source == null ? e.getLine() : source.line(e.getKey());
                    return new ConfigurationError(
                            e.getFile(), at, e.getSection(), e.getKey(), e.getRule(), e.getExpected());
                })
                .toList();
    }

    private static String digest(List<Section> sections, long basedOn, String operator) {
        Map<String, Map<String, String>> content = new TreeMap<>();
        sections.forEach(s -> content.put(s.getKind() + " " + s.getName(), new TreeMap<>(s.getPropertiesMap())));
        return DigestUtils.sha256Hex(basedOn + "\n" + operator + "\n" + content);
    }

    private static long parseNumber(String text) throws CommandException {
        try {
            long n = Long.parseLong(text);
            if (n >= 0) {
                return n;
            }
        } catch (NumberFormatException e) {
            // Reported below, like negative numbers.
        }
        throw new CommandException(ExitCode.USAGE, "--" + BASED_ON + " must be a number from 0, not " + text);
    }
}
