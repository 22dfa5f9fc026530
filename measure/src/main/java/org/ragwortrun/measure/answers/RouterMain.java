package org.ragwortrun.measure.answers;

import java.nio.file.Path;
import java.util.List;
import java.util.stream.Stream;
import org.ragwortrun.core.concurrent.StopSignal;
import org.ragwortrun.core.error.RagwortrunException;
import org.ragwortrun.core.settings.Settings;
import org.ragwortrun.core.time.ProcessStart;
import org.ragwortrun.proto.ListedEndpoint;
import org.ragwortrun.router.ForwardDaemon;
import org.ragwortrun.router.internal.forward.HeaderNames;

/**
 * Entry point of a forwarding router with a fixed list of endpoints: the settings file, then their addresses, each after
 * its origin and an {@code @} unless it is that of the measurement of answers.
 */
public final class RouterMain {
    private static final int SLOTS = 32;

    private RouterMain() {}

    public static void main(String[] args) throws RagwortrunException {
        List<ListedEndpoint> endpoints = listed(args);
        StopSignal.runUntilStopped(
                ForwardDaemon.start(
                        Settings.read(Path.of(args[0])), HeaderNames.STANDARD, () -> endpoints, ProcessStart.nanos()),
                0);
    }

    /** Returns the endpoints in the arguments of a process. */
    static List<ListedEndpoint> listed(String... args) {
        return Stream.of(args).skip(1).map(RouterMain::endpoint).toList();
    }

    private static ListedEndpoint endpoint(String argument) {
        int at = argument.indexOf('@');
        String address = argument.substring(at + 1);
        return ListedEndpoint.newBuilder()
                .setId("e" + address.substring(address.indexOf(':') + 1))
                .setService(at < 0 ? AnswersRun.ORIGIN : argument.substring(0, at))
                .setAddress(address)
                .setDataCenter("dc1")
                .setVersion("v1")
                .setSlots(SLOTS)
                .build();
    }
}
