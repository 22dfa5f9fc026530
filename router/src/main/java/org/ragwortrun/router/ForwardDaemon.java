package org.ragwortrun.router;

import org.ragwortrun.core.error.RagwortrunException;
import org.ragwortrun.core.settings.Settings;
import org.ragwortrun.net.control.EndpointSource;
import org.ragwortrun.router.internal.forward.ForwardRouter;
import org.ragwortrun.router.internal.forward.ForwardSettings;
import org.ragwortrun.router.internal.forward.HeaderNames;

/** A running router that forwards to origins. */
public final class ForwardDaemon implements AutoCloseable {
    private final ForwardRouter router;

    private ForwardDaemon(ForwardRouter router) {
        this.router = router;
    }

    /**
     * Starts a router with its settings.
     *
     * @param beganNanos monotonic time at which this process began, after any earlier one on this host had ended
     * @throws RagwortrunException if a setting is wrong or an address cannot be bound
     */
    public static ForwardDaemon start(Settings settings, HeaderNames names, EndpointSource endpoints, long beganNanos)
            throws RagwortrunException {
        return new ForwardDaemon(ForwardRouter.start(ForwardSettings.read(settings), names, endpoints, beganNanos));
    }

    /** Stops gracefully: running requests finish, bills are delivered and grants are returned. */
    @Override
    public void close() {
        router.close();
    }
}
