package org.ragwortrun.e2e;

import static com.google.common.truth.Truth.assertWithMessage;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.ragwortrun.measure.FigureReport;
import org.ragwortrun.measure.process.SoakMeasurement;

final class WatchedRunTest {
    private static final long SEED = 7;

    /**
     * Guards against any lost, doubled, wrong or misreported request and any overspend while routers, agents, endpoints
     * and control members are killed, seen from outside.
     */
    @Test
    void everyRequestEndsRightUnderFaults() throws Exception {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        FigureReport report = new FigureReport(new PrintStream(bytes, true, StandardCharsets.UTF_8), SEED);
        new SoakMeasurement().run(SEED, Map.of("seconds", "10"), report);
        boolean held = report.finish();
        assertWithMessage(bytes.toString(StandardCharsets.UTF_8)).that(held).isTrue();
    }
}
