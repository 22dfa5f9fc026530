package org.ragwortrun.router.internal.forward;

import io.netty.channel.SingleThreadEventLoop;
import java.util.concurrent.Executor;

/**
 * Runs steps after all that has arrived in the meantime is read.
 *
 * <p>The load it answers: a host that is short of processor time. Its requests wait in a long queue of tasks, to be begun
 * or for their tokens, while their callers leave; a close that has arrived must be seen before a request is sent on. Used
 * on the event loop only.
 */
final class AfterReads implements Executor {
    private final SingleThreadEventLoop loop;

    AfterReads(SingleThreadEventLoop loop) {
        this.loop = loop;
    }

    /** Runs a step as one of the first tasks after the next look at all connections. */
    @Override
    public void execute(Runnable step) {
        loop.executeAfterEventLoopIteration(() -> loop.execute(step));
    }
}
