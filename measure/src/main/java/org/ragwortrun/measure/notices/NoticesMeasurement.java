package org.ragwortrun.measure.notices;

import java.util.Map;
import org.ragwortrun.measure.Bound;
import org.ragwortrun.measure.FigureReport;
import org.ragwortrun.measure.Measurement;

/** What callers get when endpoints leave or ask for time: with heed to what they say, and without in the same run. */
public final class NoticesMeasurement implements Measurement {
    // Routers times troubled endpoints times the two requests that the operators allow.
    private static final long MOST_AGAINST_NOTICE = 7L * 4 * 2;

    @Override
    public void run(long seed, Map<String, String> options, FigureReport report) {
        for (Trouble trouble : Trouble.values()) {
            NoticesRun heeding = new NoticesRun(trouble, true, seed).play();
            NoticesRun naive = new NoticesRun(trouble, false, seed).play();
            report.covered("requests", heeding.asked());
            Bound bound = trouble == Trouble.HALF_LEAVES ? Bound.atMost(0) : Bound.atMost(MOST_AGAINST_NOTICE);
            figures(report, trouble.figure(), heeding, bound);
            figures(report, "naive_" + trouble.figure(), naive, Bound.none());
        }
    }

    private static void figures(FigureReport report, String name, NoticesRun run, Bound againstNotice) {
        report.figure(name + "_served", run.servedShare(), "1", Bound.none());
        report.figure(name + "_refused", run.refusedShare(), "1", Bound.none());
        report.figure(name + "_wait_p50", run.waitMs(50), "ms", Bound.none());
        report.figure(name + "_wait_p99", run.waitMs(99), "ms", Bound.none());
        report.figure(name + "_sent_against_notice", run.againstNotice(), "1", againstNotice);
    }
}
