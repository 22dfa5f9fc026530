package org.ragwortrun.measure;

import java.util.Map;
import java.util.TreeMap;
import org.ragwortrun.measure.answers.AnswersMeasurement;
import org.ragwortrun.measure.budgets.BudgetsMeasure;
import org.ragwortrun.measure.capacity.CapacityMeasurement;
import org.ragwortrun.measure.config.ConfigMeasurement;
import org.ragwortrun.measure.limits.LimitsMeasurement;
import org.ragwortrun.measure.notices.NoticesMeasurement;
import org.ragwortrun.measure.process.FootprintMeasurement;
import org.ragwortrun.measure.process.OverheadMeasurement;
import org.ragwortrun.measure.process.SoakMeasurement;
import org.ragwortrun.measure.replication.ReplicationMeasurement;
import org.ragwortrun.measure.routing.RoutingMeasurement;
import org.ragwortrun.measure.version.VersionsMeasurement;

/** Registry of the measurements by name. */
final class Measurements {
    private Measurements() {}

    static Map<String, Measurement> all() {
        return new TreeMap<>(Map.ofEntries(
                Map.entry("answers", new AnswersMeasurement()),
                Map.entry("budgets", new BudgetsMeasure()),
                Map.entry("overhead", new OverheadMeasurement()),
                Map.entry("capacity", new CapacityMeasurement()),
                Map.entry("config", new ConfigMeasurement()),
                Map.entry("footprint", new FootprintMeasurement()),
                Map.entry("limits", new LimitsMeasurement()),
                Map.entry("notices", new NoticesMeasurement()),
                Map.entry("replication", new ReplicationMeasurement()),
                Map.entry("routing", new RoutingMeasurement()),
                Map.entry("soak", new SoakMeasurement()),
                Map.entry("versions", new VersionsMeasurement())));
    }
}
