package org.ragwortrun.measure;

import java.util.Map;
import java.util.TreeMap;
import org.ragwortrun.measure.answers.AnswersMeasurement;
import org.ragwortrun.measure.budgets.BudgetsMeasure;
import org.ragwortrun.measure.capacity.CapacityMeasurement;
import org.ragwortrun.measure.limits.LimitsMeasurement;
import org.ragwortrun.measure.notices.NoticesMeasurement;
import org.ragwortrun.measure.process.FootprintMeasurement;
import org.ragwortrun.measure.process.OverheadMeasurement;
import org.ragwortrun.measure.process.SoakMeasurement;
import org.ragwortrun.measure.replication.ReplicationMeasurement;
import org.ragwortrun.measure.version.VersionsMeasurement;

/** Registry of the measurements by name. */
final class Measurements {
    private Measurements() {}

    static Map<String, Measurement> all() {
        return new TreeMap<>(Map.of(
                "answers", new AnswersMeasurement(),
                "budgets", new BudgetsMeasure(),
                "overhead", new OverheadMeasurement(),
                "capacity", new CapacityMeasurement(),
                "footprint", new FootprintMeasurement(),
                "limits", new LimitsMeasurement(),
                "notices", new NoticesMeasurement(),
                "replication", new ReplicationMeasurement(),
                "soak", new SoakMeasurement(),
                "versions", new VersionsMeasurement()));
    }
}
