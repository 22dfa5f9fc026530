package org.ragwortrun.router.internal.forward;

import java.util.Collection;
import java.util.Comparator;
import java.util.function.Supplier;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.ragwortrun.core.log.Event;
import org.ragwortrun.core.metrics.Metrics;

/**
 * Limits the bytes that the connections of a router hold together for callers and endpoints.
 *
 * <p>A limit for each connection does not bound the process, which has hundreds of them. When the limit is exceeded, the
 * holder of most bytes releases its memory: few requests end, and small ones are not affected by large ones. Used on the
 * event loop; {@link #heldBytes()} may be called by any thread.
 */
final class MemoryLimit {
    private static final Logger LOG = LogManager.getLogger(MemoryLimit.class);
    // The sum over all holders is computed once for this many received bytes.
    private static final int CHECK_BYTES = 256 << 10;

    private final long maxBytes;
    private final Supplier<? extends Collection<? extends Holder>> holders;
    private final Metrics metrics;
    private long uncheckedBytes;
    private volatile long heldBytes;

    /** Owner of memory that depends on what others send. */
    interface Holder {
        long heldBytes();

        /** Ends what needs the memory. */
        void releaseMemory();
    }

    MemoryLimit(long maxBytes, Supplier<? extends Collection<? extends Holder>> holders, Metrics metrics) {
        this.maxBytes = maxBytes;
        this.holders = holders;
        this.metrics = metrics;
    }

    /** Adds bytes that a holder has received, and makes the largest holders release their memory if necessary. */
    void onReceived(int bytes) {
        uncheckedBytes += bytes;
        if (uncheckedBytes >= Math.min(CHECK_BYTES, maxBytes)) {
            uncheckedBytes = 0;
            check();
        }
    }

    /** Returns the bytes that were held at the last check. */
    long heldBytes() {
        return heldBytes;
    }

    private void check() {
        long held = holders.get().stream().mapToLong(Holder::heldBytes).sum();
        while (held > maxBytes) {
            Holder largest = holders.get().stream()
                    .max(Comparator.comparingLong(Holder::heldBytes))
                    .orElseThrow();
            long released = largest.heldBytes();
            if (released == 0) {
                break;
            }
            Event.of("memory-released")
                    .with("held", held)
                    .with("limit", maxBytes)
                    .with("released", released)
                    .warn(LOG);
            metrics.count("memory_releases", 1);
            largest.releaseMemory();
            held -= released;
        }
        heldBytes = held;
    }
}
