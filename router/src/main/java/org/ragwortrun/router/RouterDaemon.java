package org.ragwortrun.router;

import org.ragwortrun.core.error.RagwortrunException;
import org.ragwortrun.core.settings.Settings;
import org.ragwortrun.net.control.MemberSettings;
import org.ragwortrun.router.internal.Router;
import org.ragwortrun.router.internal.RouterSettings;

/** A running router. */
public final class RouterDaemon implements AutoCloseable {
    private final Router router;
    private final MemberSettings members;

    private RouterDaemon(Settings settings, Router router) {
        this.router = router;
        members = MemberSettings.follow(settings, router::configureMembers);
    }

    /**
     * Starts a router with its settings, whose file it reads again for changed control members.
     *
     * @throws RagwortrunException if a setting is invalid or the HTTP address cannot be bound
     */
    public static RouterDaemon start(Settings settings) throws RagwortrunException {
        return new RouterDaemon(settings, Router.start(RouterSettings.read(settings)));
    }

    /** Returns the port for callers. */
    public int port() {
        return router.port();
    }

    /** Stops gracefully: running requests finish, bills are delivered and grants are returned. */
    @Override
    public void close() {
        members.close();
        router.close();
    }
}
