package org.ragwortrun.router.internal.limits;

import java.util.concurrent.Executor;
import java.util.function.BiConsumer;
import org.ragwortrun.core.time.Time;
import org.ragwortrun.net.FrameHandler;
import org.ragwortrun.net.Peer;
import org.ragwortrun.proto.Frame;
import org.ragwortrun.proto.LimitReport;
import org.ragwortrun.routing.LimitStatement;

/**
 * Receives the limits that coordinators send when they have changed.
 *
 * @param statements receives them on the event loop
 * @param loop event loop
 * @param time clock
 */
public record LimitReportHandler(BiConsumer<String, LimitStatement> statements, Executor loop, Time time)
        implements FrameHandler {
    @Override
    public void onFrame(Peer peer, Frame frame) {
        if (frame.hasLimitReport()) {
            LimitReport report = frame.getLimitReport();
            LimitStatement statement = LimitReports.toStatement(report, time.nanos());
            loop.execute(() -> statements.accept(report.getEndpoint(), statement));
        }
    }
}
