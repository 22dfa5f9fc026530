package org.ragwortrun.router.internal.forward;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.EventLoop;
import java.util.LinkedHashSet;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/**
 * Sends what has been written to callers, a little later and together.
 *
 * <p>The load it answers: many streams whose events are a few milliseconds apart. One system call and one packet for
 * each event would take most of the processor of a small host. The pause is below the gap between tokens that callers
 * notice. Used on the event loop only.
 */
final class FlushLater {
    private static final long PAUSE_MS = 25;

    private final EventLoop loop;
    private Set<ChannelHandlerContext> waiting = new LinkedHashSet<>();

    FlushLater(EventLoop loop) {
        this.loop = loop;
    }

    /** Notes a connection with something to send. It may be noted more than once. */
    void add(ChannelHandlerContext ctx) {
        if (waiting.isEmpty()) {
            loop.schedule(this::flush, PAUSE_MS, TimeUnit.MILLISECONDS);
        }
        waiting.add(ctx);
    }

    private void flush() {
        Set<ChannelHandlerContext> due = waiting;
        waiting = new LinkedHashSet<>();
        due.forEach(ChannelHandlerContext::flush);
    }
}
