package org.ragwortrun.standins;

import org.apache.hc.core5.http.ExceptionListener;
import org.apache.hc.core5.http.HttpConnection;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.jspecify.annotations.Nullable;
import org.ragwortrun.core.log.Event;

/** Logs connection failures at debug level only, because tests cause them on purpose. */
final class DebugLogExceptionListener implements ExceptionListener {
    private static final Logger LOG = LogManager.getLogger(DebugLogExceptionListener.class);

    @Override
    public void onError(Exception failure) {
        log(failure);
    }

    @Override
    public void onError(@Nullable HttpConnection connection, Exception failure) {
        log(failure);
    }

    private static void log(Exception failure) {
        Event.of("connection-ended")
                .with("failure", failure.getClass().getSimpleName())
                .debug(LOG);
    }
}
