package org.ragwortrun.cli.internal;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import java.time.Duration;
import java.util.List;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Options;
import org.ragwortrun.core.config.Locations;
import org.ragwortrun.net.TransportException;
import org.ragwortrun.proto.EvacuationOrder;
import org.ragwortrun.proto.EvacuationReply;
import org.ragwortrun.proto.Frame;

/** Begins or ends the evacuation of a data center. */
final class EvacuateCommand implements Command {
    private static final String BEGIN = "begin";
    private static final String FINISH = "finish";

    @Override
    public String name() {
        return "evacuate";
    }

    @Override
    public String arguments() {
        return "begin|finish DATA_CENTER";
    }

    @Override
    public String summary() {
        return "send no more requests to the endpoints of a data center, or send them again";
    }

    @Override
    public List<String> help() {
        return List.of(
                "Running requests finish. Routers that are connected to control follow within a second; watch it with",
                "ragwortrun status, which also lists the evacuations. An order may be repeated: it has no further effect.",
                "",
                "Example: ragwortrun evacuate begin north-1 --control 10.0.0.1:7001,10.0.0.2:7001");
    }

    @Override
    public Options options() {
        return CommonOptions.controlOptionsWithJson();
    }

    @Override
    public ExitCode run(CommandLine line, Console console) throws CommandException {
        List<String> arguments = Arguments.requireCount(line, 2, 2, arguments());
        String action = arguments.get(0);
        String dataCenter = arguments.get(1);
        if (!List.of(BEGIN, FINISH).contains(action)) {
            throw new CommandException(ExitCode.USAGE, "expected " + arguments());
        }
        if (!Locations.isDataCenter(dataCenter)) {
            throw new CommandException(ExitCode.USAGE, "a data center has 1 to 64 visible characters and no slash");
        }
        EvacuationReply reply;
        try (ControlSession session = ControlSession.open(line)) {
            reply = send(session, dataCenter, BEGIN.equals(action));
        }
        if (line.hasOption(CommonOptions.JSON)) {
            console.print(JsonNodeFactory.instance
                    .objectNode()
                    .put("dataCenter", dataCenter)
                    .put("evacuated", BEGIN.equals(action))
                    .put("number", reply.getNumber()));
        } else {
            console.print("data center " + dataCenter + (BEGIN.equals(action) ? " is evacuated" : " is not evacuated")
                    + " from configuration " + reply.getNumber() + " on");
        }
        return ExitCode.DONE;
    }

    /** Sends the order once. The operator decides whether to repeat it, because a newer order may exist by then. */
    private static EvacuationReply send(ControlSession session, String dataCenter, boolean begin)
            throws CommandException {
        Duration timeout = session.timeout();
        Frame.Builder order = Frame.newBuilder()
                .setEvacuationOrder(EvacuationOrder.newBuilder()
                        .setDataCenter(dataCenter)
                        .setBegin(begin)
                        .setValidMs((int) Math.min(timeout.toMillis(), Integer.MAX_VALUE)));
        Frame reply;
        try {
            reply = session.sendOnce(0, order, timeout);
        } catch (TransportException e) {
            if (e.kind() == TransportException.Kind.NOT_SENT) {
                throw ControlSession.unreachable(e);
            }
            throw new CommandException(
                    ExitCode.UNREACHABLE,
                    "the answer was lost (" + e.getMessage() + "); repeat the command, or look at ragwortrun status",
                    e);
        }
        if (reply.getEvacuationReply().getOutcome() != EvacuationReply.Outcome.ACCEPTED) {
            throw ControlSession.refused(reply);
        }
        return reply.getEvacuationReply();
    }
}
