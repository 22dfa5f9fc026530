package org.ragwortrun.router.internal.limits;

import java.util.Optional;
import org.ragwortrun.proto.LimitReport;
import org.ragwortrun.proto.Ramp;
import org.ragwortrun.routing.LimitStatement;
import org.ragwortrun.routing.RampReport;

/** Converts statements about limits and reports about ramps to messages, whose times are ages because hosts share no clock. */
final class LimitReports {
    private static final long MICROSECOND_NANOS = 1_000;
    // The longest warm-up that a configuration may name.
    private static final long MAX_WARM_UP_MS = 600_000;

    private LimitReports() {}

    static LimitReport toMessage(String endpoint, LimitStatement statement, long now) {
        LimitReport.Builder report = LimitReport.newBuilder()
                .setEndpoint(endpoint)
                .setSentAgeUs(Math.max(0, now - statement.sentNanos()) / MICROSECOND_NANOS)
                .setReceivedAgeUs(Math.max(0, now - statement.receivedNanos()) / MICROSECOND_NANOS);
        if (statement.isLimited()) {
            report.setPerSecond(statement.perSecond());
        }
        return report.build();
    }

    static Ramp toMessage(String endpoint, RampReport ramp) {
        return Ramp.newBuilder()
                .setEndpoint(endpoint)
                .setPerSecond(ramp.perSecond())
                .setWarmUpPerSecond(ramp.warmUpPerSecond())
                .setWarmUpMs((int) Math.min(MAX_WARM_UP_MS, ramp.warmUpMs()))
                .build();
    }

    /** Converts a message to a report. Returns empty for rates that no router or coordinator can have sent. */
    static Optional<RampReport> toReport(Ramp ramp) {
        return isRate(ramp.getPerSecond()) && isRate(ramp.getWarmUpPerSecond())
                ? Optional.of(new RampReport(
                        ramp.getPerSecond(),
                        ramp.getWarmUpPerSecond(),
                        Math.min(MAX_WARM_UP_MS, Integer.toUnsignedLong(ramp.getWarmUpMs()))))
                : Optional.empty();
    }

    private static boolean isRate(double perSecond) {
        return perSecond >= 0 && Double.isFinite(perSecond);
    }

    /** Converts a message to a statement. A limit that no endpoint can have named counts as none. */
    static LimitStatement toStatement(LimitReport report, long now) {
        long sent = now - report.getSentAgeUs() * MICROSECOND_NANOS;
        long received = now - report.getReceivedAgeUs() * MICROSECOND_NANOS;
        boolean valid = report.hasPerSecond() && report.getPerSecond() >= 0;
        return valid
                ? new LimitStatement(report.getPerSecond(), sent, received)
                : LimitStatement.unlimited(sent, received);
    }
}
