package org.ragwortrun.standins;

import org.apache.hc.core5.http.ExceptionListener;
import org.apache.hc.core5.http.HttpConnection;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.jspecify.annotations.Nullable;
import org.ragwortrun.core.log.Event;

/** Logs broken connections at debug level only, because tests break them on purpose. */
final class QuietListener implements ExceptionListener {
    private static final Logger LOG = LogManager.getLogger(QuietListener.class);

    @Override
    public void onError(Exception failure) {
        note(failure);
    }

    @Override
    public void onError(@Nullable HttpConnection connection, Exception failure) {
        note(failure);
    }

    private static void note(Exception failure) {
        Event.of("connection-ended")
                .with("failure", failure.getClass().getSimpleName())
                .debug(LOG);
    }
}
