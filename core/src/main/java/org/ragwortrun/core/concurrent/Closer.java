package org.ragwortrun.core.concurrent;

import java.util.ArrayDeque;
import java.util.Deque;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.ragwortrun.core.log.Event;

/** Collects resources and closes them in reverse order. */
public final class Closer implements AutoCloseable {
    private static final Logger LOG = LogManager.getLogger(Closer.class);

    private final Deque<AutoCloseable> resources = new ArrayDeque<>();
    private boolean closed;

    /** Registers a resource and returns it. A resource that is registered after close is closed at once. */
    public <T extends AutoCloseable> T register(T resource) {
        synchronized (this) {
            if (!closed) {
                resources.push(resource);
                return resource;
            }
        }
        closeOne(resource);
        return resource;
    }

    /** Closes all resources. A failure is logged, and the remaining resources are still closed. */
    @Override
    public void close() {
        while (true) {
            AutoCloseable next;
            synchronized (this) {
                closed = true;
                next = resources.poll();
            }
            if (next == null) {
                return;
            }
            closeOne(next);
        }
    }

    @SuppressWarnings("PMD.AvoidCatchingGenericException")
    private static void closeOne(AutoCloseable resource) {
        try {
            resource.close();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } catch (Exception e) {
            Event.of("close-failed")
                    .with("resource", resource.getClass().getSimpleName())
                    .warn(LOG, e);
        }
    }
}
