package org.ragwortrun.control.internal;

import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.ragwortrun.core.concurrent.Duty;
import org.ragwortrun.core.error.RagwortrunException;
import org.ragwortrun.core.log.Event;
import org.ragwortrun.replication.StorageException;

/**
 * Keeps a member open on its files, and opens it anew after they have failed.
 *
 * <p>A disk that was full or refused a write leaves files whose state is unknown, so the member stops writing. It may
 * take part again once it has read them from the start, as after a restart. Until the disk works, it tries again.
 */
public final class Reopening implements AutoCloseable {
    private static final Logger LOG = LogManager.getLogger(Reopening.class);
    // A disk that was full a moment ago is often full still; a member that waits longer is missed in the quorum.
    private static final long PAUSE_MS = 400;

    private final Opener opener;
    private final ScheduledExecutorService timer = Duty.timer("control-reopen");
    private AutoCloseable current = () -> {};
    private boolean closed;
    private boolean failing;

    /** Opens a member. */
    public interface Opener {
        /**
         * Opens the member.
         *
         * @param failed to be run, once, when the files of the member fail
         * @throws StorageException if the files cannot be used now
         * @throws RagwortrunException if the member cannot be opened at all
         */
        AutoCloseable open(Runnable failed) throws RagwortrunException;
    }

    private Reopening(Opener opener) {
        this.opener = opener;
    }

    /**
     * Opens a member. If its files cannot be used now, it is opened later.
     *
     * @throws RagwortrunException if it cannot be opened for another reason
     */
    public static Reopening start(Opener opener) throws RagwortrunException {
        Reopening reopening = new Reopening(opener);
        try {
            reopening.open();
        } catch (RagwortrunException e) {
            reopening.close();
            throw e;
        }
        return reopening;
    }

    @Override
    public void close() {
        Duty.stop(timer);
        synchronized (this) {
            closed = true;
            closeCurrent();
        }
    }

    private synchronized void open() throws RagwortrunException {
        if (closed) {
            return;
        }
        try {
            current = opener.open(this::onFailure);
            if (failing) {
                Event.of("storage-regained").info(LOG);
            }
            failing = false;
        } catch (StorageException e) {
            if (!failing) {
                Event.of("storage-lost").warn(LOG, e);
            }
            failing = true;
            later();
        }
    }

    private void onFailure() {
        failing = true;
        Event.of("storage-lost").with("reopen-ms", PAUSE_MS).warn(LOG);
        later();
    }

    private void later() {
        if (!timer.isShutdown()) {
            timer.schedule(this::reopen, PAUSE_MS, TimeUnit.MILLISECONDS);
        }
    }

    private synchronized void reopen() {
        closeCurrent();
        try {
            open();
        } catch (RagwortrunException e) {
            // What cannot be read now may be damaged; the process stays, so that its log can be read.
            Event.of("reopen-failed").with("type", e.type()).error(LOG, e);
            later();
        }
    }

    @SuppressWarnings("PMD.AvoidCatchingGenericException")
    private void closeCurrent() {
        AutoCloseable closing = current;
        current = () -> {};
        try {
            closing.close();
        } catch (Exception e) {
            Event.of("close-failed").warn(LOG, e);
        }
    }
}
