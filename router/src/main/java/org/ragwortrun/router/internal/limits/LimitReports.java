package org.ragwortrun.router.internal.limits;

import org.ragwortrun.proto.LimitReport;
import org.ragwortrun.routing.LimitStatement;

/** Converts statements about limits to messages, whose times are ages because hosts share no clock. */
final class LimitReports {
    private static final long MICROSECOND_NANOS = 1_000;

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
