package org.ragwortrun.router;

import org.ragwortrun.core.error.RagwortrunException;
import org.ragwortrun.core.settings.Settings;
import org.ragwortrun.router.internal.Router;
import org.ragwortrun.router.internal.RouterSettings;

/** A running router. */
public final class RouterDaemon implements AutoCloseable {
    private final Router router;

    private RouterDaemon(Router router) {
        this.router = router;
    }

    /**
     * Starts a router with its settings.
     *
     * @throws RagwortrunException if a setting is invalid or the HTTP address cannot be bound
     */
    public static RouterDaemon start(Settings settings) throws RagwortrunException {
        return new RouterDaemon(Router.start(RouterSettings.read(settings)));
    }

    /** Returns the port for callers. */
    public int port() {
        return router.port();
    }

    /** Stops gracefully: running requests finish, bills are delivered and grants are returned. */
    @Override
    public void close() {
        router.close();
    }
}
