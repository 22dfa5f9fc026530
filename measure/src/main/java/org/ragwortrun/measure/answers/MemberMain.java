package org.ragwortrun.measure.answers;

import java.nio.file.Path;
import java.util.List;
import org.ragwortrun.control.ControlDaemon;
import org.ragwortrun.core.concurrent.StopSignal;
import org.ragwortrun.core.error.RagwortrunException;
import org.ragwortrun.core.settings.Settings;
import org.ragwortrun.core.time.ProcessStart;
import org.ragwortrun.proto.ListedEndpoint;

/**
 * Entry point of a control member that sends routers a fixed list of endpoints and the list of routers, as on the platform.
 * Its arguments are those of {@link RouterMain}.
 */
public final class MemberMain {
    private MemberMain() {}

    public static void main(String[] args) throws RagwortrunException {
        List<ListedEndpoint> endpoints = RouterMain.listed(args);
        StopSignal.runUntilStopped(
                ControlDaemon.start(Settings.read(Path.of(args[0])), () -> endpoints, ProcessStart.nanos()), 0);
    }
}
