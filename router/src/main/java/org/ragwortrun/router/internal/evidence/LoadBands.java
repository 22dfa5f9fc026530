package org.ragwortrun.router.internal.evidence;

import java.util.Optional;
import org.ragwortrun.proto.LoadReport;

/** Classifies the load of an endpoint into three bands, so that versions are compared under similar load. */
public final class LoadBands {
    private static final double MIDDLE = 0.4;
    private static final double HIGH = 0.8;

    private LoadBands() {}

    /** Returns the band for the higher utilization of slots and KV cache. */
    public static int of(Optional<LoadReport> report, int slots, int ownInFlight) {
        int running = Math.max(ownInFlight, report.map(LoadReport::getRunning).orElse(0));
        double load = (double) running / Math.max(1, slots);
        double kv = report.filter(r -> r.getKvTokensCapacity() > 0)
                .map(r -> (double) r.getKvTokensUsed() / r.getKvTokensCapacity())
                .orElse(0.0);
        double utilization = Math.max(load, kv);
        if (utilization < MIDDLE) {
            return 0;
        }
        return utilization < HIGH ? 1 : 2;
    }
}
