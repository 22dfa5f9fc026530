package org.ragwortrun.router.internal.limits;

import java.util.concurrent.Executor;
import java.util.function.BiConsumer;
import org.ragwortrun.core.time.Time;
import org.ragwortrun.net.FrameHandler;
import org.ragwortrun.net.Peer;
import org.ragwortrun.proto.Frame;
import org.ragwortrun.proto.LimitReport;
import org.ragwortrun.proto.PermitReply;
import org.ragwortrun.routing.LimitStatement;
import org.ragwortrun.routing.RampReport;

/**
 * Receives the limits and ramps that coordinators send when they have changed.
 *
 * @param statements receives limits on the event loop
 * @param ramps receives ramps on the event loop
 * @param loop event loop
 * @param time clock
 */
public record LimitReportHandler(
        BiConsumer<String, LimitStatement> statements, BiConsumer<String, RampReport> ramps, Executor loop, Time time)
        implements FrameHandler {
    @Override
    public void onFrame(Peer peer, Frame frame) {
        if (frame.hasLimitReport()) {
            LimitReport report = frame.getLimitReport();
            LimitStatement statement = LimitReports.toStatement(report, time.nanos());
            loop.execute(() -> statements.accept(report.getEndpoint(), statement));
        } else if (frame.hasPermitReply()) {
            PermitReply reply = frame.getPermitReply();
            LimitReports.toReport(reply.getRamp())
                    .filter(r -> reply.hasRamp())
                    .ifPresent(r ->
                            loop.execute(() -> ramps.accept(reply.getLimit().getEndpoint(), r)));
        }
    }
}
