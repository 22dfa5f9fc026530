package org.ragwortrun.router.internal.forward;

import io.netty.channel.SingleThreadEventLoop;

/**
 * Runs a step after all that has arrived in the meantime is read.
 *
 * <p>The load it answers: a host that is short of processor time. Its requests wait for their tokens in a long queue of
 * tasks, while their callers leave; a close that has arrived must be seen before a request is sent on. Used on the event
 * loop only.
 */
final class AfterReads {
    private final SingleThreadEventLoop loop;

    AfterReads(SingleThreadEventLoop loop) {
        this.loop = loop;
    }

    /** Runs a step as one of the first tasks after the next look at all connections. */
    void run(Runnable step) {
        loop.executeAfterEventLoopIteration(() -> loop.execute(step));
    }
}
