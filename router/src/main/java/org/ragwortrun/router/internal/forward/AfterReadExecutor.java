package org.ragwortrun.router.internal.forward;

import io.netty.channel.SingleThreadEventLoop;
import java.util.concurrent.Executor;

/**
 * Runs tasks after the event loop has read all data that has arrived in the meantime.
 *
 * <p>On a host that is short of processor time, requests wait in a long task queue to be started or to get their
 * tokens, and callers may disconnect meanwhile. The router must see a close that has arrived before it forwards the
 * request. Used on the event loop only.
 */
final class AfterReadExecutor implements Executor {
    private final SingleThreadEventLoop loop;

    AfterReadExecutor(SingleThreadEventLoop loop) {
        this.loop = loop;
    }

    /** Runs a task as one of the first after the event loop has next polled all connections. */
    @Override
    public void execute(Runnable task) {
        loop.executeAfterEventLoopIteration(() -> loop.execute(task));
    }
}
