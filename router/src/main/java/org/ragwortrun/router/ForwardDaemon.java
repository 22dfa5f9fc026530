package org.ragwortrun.router;

import org.ragwortrun.core.concurrent.Closer;
import org.ragwortrun.core.error.RagwortrunException;
import org.ragwortrun.core.settings.Settings;
import org.ragwortrun.net.control.EndpointSource;
import org.ragwortrun.net.control.MemberSettings;
import org.ragwortrun.router.internal.forward.ForwardRouter;
import org.ragwortrun.router.internal.forward.ForwardSettings;
import org.ragwortrun.router.internal.forward.HeaderNames;

/** A running router that forwards requests to the endpoints of origins. */
public final class ForwardDaemon implements AutoCloseable {
    private final Closer closer = new Closer();

    private ForwardDaemon(Settings settings, ForwardRouter router) {
        closer.register(router);
        closer.register(MemberSettings.follow(settings, router::configureMembers));
    }

    /**
     * Starts a router with its settings, whose file it reads again for changed control members.
     *
     * @param processStartNanos monotonic time at which this process started, after any earlier one on this host had
     *     ended
     * @throws RagwortrunException if a setting is invalid or an address cannot be bound
     */
    public static ForwardDaemon start(
            Settings settings, HeaderNames names, EndpointSource endpoints, long processStartNanos)
            throws RagwortrunException {
        return new ForwardDaemon(
                settings, ForwardRouter.start(ForwardSettings.read(settings), names, endpoints, processStartNanos));
    }

    /** Stops gracefully: running requests finish, bills are delivered and grants are returned. */
    @Override
    public void close() {
        closer.close();
    }
}
