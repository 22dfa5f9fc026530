package org.ragwortrun.router.internal.forward;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.EventLoop;
import java.util.LinkedHashSet;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/**
 * Flushes the connections of callers together after a short delay.
 *
 * <p>With many streams whose events are a few milliseconds apart, one system call and one packet per event would take
 * most of the processor time of a small host. The delay is shorter than a gap between tokens that callers notice. Used
 * on the event loop only.
 */
final class FlushBatcher {
    private static final long DELAY_MS = 25;

    private final EventLoop loop;
    private Set<ChannelHandlerContext> pending = new LinkedHashSet<>();

    FlushBatcher(EventLoop loop) {
        this.loop = loop;
    }

    /** Adds a connection with data to flush. A connection may be added more than once. */
    void add(ChannelHandlerContext ctx) {
        if (pending.isEmpty()) {
            loop.schedule(this::flush, DELAY_MS, TimeUnit.MILLISECONDS);
        }
        pending.add(ctx);
    }

    private void flush() {
        Set<ChannelHandlerContext> due = pending;
        pending = new LinkedHashSet<>();
        due.forEach(ChannelHandlerContext::flush);
    }
}
