package org.ragwortrun.control.internal;

import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.ragwortrun.core.concurrent.SingleThreadExecutor;
import org.ragwortrun.core.error.RagwortrunException;
import org.ragwortrun.core.log.Event;
import org.ragwortrun.replication.StorageException;

/**
 * Runs a member and reopens it after its storage has failed.
 *
 * <p>After a failed write, for example on a full disk, the state of the files is unknown, so the member stops writing.
 * It may rejoin its groups only after it has read the files again, as after a restart. Reopening is retried until the
 * disk works.
 */
public final class MemberSupervisor implements AutoCloseable {
    private static final Logger LOG = LogManager.getLogger(MemberSupervisor.class);
    // With a shorter delay the disk is often still full; with a longer one the quorum lacks the member for longer.
    private static final long REOPEN_DELAY_MS = 400;

    private final Opener opener;
    private final ScheduledExecutorService timer = SingleThreadExecutor.timer("control-reopen");
    private AutoCloseable current = () -> {};
    private boolean closed;
    private boolean failing;

    /** Opens a member. */
    public interface Opener {
        /**
         * Opens the member.
         *
         * @param onFailure run once when the files of the member fail
         * @throws StorageException if the files are currently unusable
         * @throws RagwortrunException if the member cannot be opened at all
         */
        AutoCloseable open(Runnable onFailure) throws RagwortrunException;
    }

    private MemberSupervisor(Opener opener) {
        this.opener = opener;
    }

    /**
     * Opens a member. If its files are currently unusable, opening is retried in the background.
     *
     * @throws RagwortrunException if it cannot be opened for another reason
     */
    public static MemberSupervisor start(Opener opener) throws RagwortrunException {
        MemberSupervisor supervisor = new MemberSupervisor(opener);
        try {
            supervisor.open();
        } catch (RagwortrunException e) {
            supervisor.close();
            throw e;
        }
        return supervisor;
    }

    @Override
    public void close() {
        SingleThreadExecutor.stop(timer);
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
            scheduleReopen();
        }
    }

    private void onFailure() {
        failing = true;
        Event.of("storage-lost").with("reopen-ms", REOPEN_DELAY_MS).warn(LOG);
        scheduleReopen();
    }

    private void scheduleReopen() {
        if (!timer.isShutdown()) {
            timer.schedule(this::reopen, REOPEN_DELAY_MS, TimeUnit.MILLISECONDS);
        }
    }

    @SuppressWarnings("PMD.AvoidCatchingGenericException")
    private synchronized void reopen() {
        try {
            closeCurrent();
            open();
        } catch (RagwortrunException e) {
            // The files may be damaged. The process keeps running, so that its log can be read.
            Event.of("reopen-failed").with("type", e.type()).error(LOG, e);
            scheduleReopen();
        } catch (RuntimeException | Error e) {
            // The timer would not run the task again.
            scheduleReopen();
            Event.of("reopen-failed").with("type", "unexpected").error(LOG, e);
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
