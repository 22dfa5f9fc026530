package org.ragwortrun.router.internal.forward;

import static com.google.common.truth.Truth.assertThat;

import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.ragwortrun.core.log.Event;
import org.ragwortrun.core.refusal.Refusal;
import org.ragwortrun.core.refusal.RefusalReason;
import org.ragwortrun.core.time.Time;

final class RejectionLogTest {
    private static final int MAX_LINES = 10;

    private long nanos;
    private final Time time = new Time() {
        @Override
        public long nanos() {
            return nanos;
        }

        @Override
        public long wallMillis() {
            return 0;
        }
    };
    private final FakeConfigurationSource configuration = new FakeConfigurationSource();
    private final RejectionLog log = new RejectionLog(configuration, time);

    /** Guards against a refusal that leaves no trace of the knowledge that it was made by. */
    @Test
    void namesReasonAndAgeOfConfiguration() {
        configuration.confirmedAgeMs = OptionalLong.of(2_300);
        assertThat(line())
                .hasValue("event=request-rejected status=413 reason=request-too-large config=0 confirmed-ms=2300"
                        + " unlogged=0");
    }

    /** Guards against callers without a key that fill the log. */
    @Test
    void limitsLinesAndCountsRest() {
        for (int i = 0; i < MAX_LINES; i++) {
            assertThat(line()).isPresent();
        }
        assertThat(line()).isEmpty();
        assertThat(line()).isEmpty();
        nanos += TimeUnit.SECONDS.toNanos(1);
        assertThat(line().orElseThrow()).endsWith("unlogged=2");
        assertThat(line().orElseThrow()).endsWith("unlogged=0");
    }

    private Optional<String> line() {
        return log.line(Refusal.notRun(RefusalReason.REQUEST_TOO_LARGE, "the body is larger than allowed"))
                .map(Event::toString);
    }
}
