package org.ragwortrun.e2e;

import static com.google.common.truth.Truth.assertWithMessage;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.ragwortrun.measure.FigureReport;
import org.ragwortrun.measure.process.SoakMeasurement;

final class FaultSoakTest {
    private static final long SEED = 7;

    /**
     * Guards against lost, duplicated, wrong or misreported requests and against overspending while routers, agents,
     * endpoints and control members are killed. All checks use only what callers and operators can observe.
     */
    @Test
    void completesEveryRequestCorrectlyUnderFaults() throws Exception {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        FigureReport report = new FigureReport(new PrintStream(bytes, true, StandardCharsets.UTF_8), SEED);
        new SoakMeasurement().run(SEED, Map.of("seconds", "10"), report);
        boolean passed = report.finish();
        assertWithMessage(bytes.toString(StandardCharsets.UTF_8)).that(passed).isTrue();
    }
}
