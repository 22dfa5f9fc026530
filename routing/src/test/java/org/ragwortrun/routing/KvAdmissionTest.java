package org.ragwortrun.routing;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import org.junit.jupiter.api.Test;
import org.ragwortrun.routing.KvAdmission.Capacity;
import org.ragwortrun.routing.KvAdmission.Demand;
import org.ragwortrun.routing.KvAdmission.Outcome;

final class KvAdmissionTest {
    private static final Capacity CAPACITY = new Capacity(100, 10_000);

    private final ManualTime time = new ManualTime();
    private final ForecastKvAdmission admission =
            new ForecastKvAdmission(time, new OutputForecast(), 3, Duration.ofSeconds(2));

    /** Guards against memory that is unused because each request reserves its maximum output. */
    @Test
    void admitsMoreThanWorstCaseOnceOutputsAreKnown() {
        for (int i = 0; i < 50; i++) {
            run("t" + i, 50);
        }
        assertThat(fill(admission)).isAtLeast(3 * fill(new WorstCaseKvAdmission()));
        assertThat(admission.reservedTokens()).isAtMost(10_000);
    }

    /** Guards against an endpoint that crashes for lack of memory when running requests exceed their forecast. */
    @Test
    void stopsAdmissionWhenOutputsExceedForecast() {
        for (int i = 0; i < 50; i++) {
            run("t" + i, 50);
        }
        for (int i = 0; i < 20; i++) {
            assertThat(admission.offer(demand("r" + i, 5), CAPACITY)).isInstanceOf(Outcome.Admitted.class);
        }
        for (int i = 0; i < 20; i++) {
            admission.onOutputProgress("r" + i, 400);
        }
        assertThat(admission.reservedTokens()).isEqualTo(20 * (100 + 500));
        assertThat(admission.offer(demand("late", 5), CAPACITY)).isNotInstanceOf(Outcome.Admitted.class);
    }

    /** Guards against repeated preemptions under an unchanged margin. */
    @Test
    void preemptionIncreasesMargin() {
        admission.onLoad(0, 7);
        double before = admission.margin();
        admission.onLoad(0, 8);
        assertThat(admission.margin()).isGreaterThan(before);
        admission.onLoad(0, 0);
        assertThat(admission.margin()).isLessThan(before + 0.05);
    }

    /** Guards against low-priority requests that start before urgent ones, and against unbounded waits. */
    @Test
    void queuesByPriorityWithBoundedWait() {
        Capacity one = new Capacity(1, 10_000);
        admission.offer(demand("running", 5), one);
        assertThat(admission.offer(demand("report", 9), one)).isInstanceOf(Outcome.Waiting.class);
        assertThat(admission.offer(demand("live", 1), one)).isInstanceOf(Outcome.Waiting.class);
        assertThat(admission.poll(one)).isEmpty();
        admission.onEnded("running");
        assertThat(admission.poll(one)).containsExactly(new Outcome.Admitted(demand("live", 1)));
        time.advanceNanos(Duration.ofSeconds(2).toNanos());
        assertThat(admission.poll(one).get(0)).isInstanceOf(Outcome.Full.class);
        assertThat(admission.poll(one)).isEmpty();
    }

    /** Guards against requests that wait only to be refused, and against a large one that can never start. */
    @Test
    void refusesRequestsThatWouldWaitTooLong() {
        Capacity one = new Capacity(1, 10_000);
        admission.offer(demand("slow", 5), one);
        time.advanceNanos(Duration.ofSeconds(5).toNanos());
        admission.onEnded("slow");
        admission.offer(demand("running", 5), one);
        Outcome refused = admission.offer(demand("next", 5), one);
        assertThat(refused).isEqualTo(new Outcome.Full(demand("next", 5), Duration.ofSeconds(5)));
        assertThat(admission.offer(new Demand("huge", "chat", 5, 9_999, 2), one))
                .isInstanceOf(Outcome.TooLarge.class);
    }

    private void run(String id, long output) {
        admission.offer(demand(id, 5), CAPACITY);
        admission.onOutputProgress(id, output);
        admission.onEnded(id);
    }

    private static int fill(KvAdmission admission) {
        int n = 0;
        while (admission.offer(demand("f" + n, 5), CAPACITY) instanceof Outcome.Admitted) {
            n++;
        }
        return n;
    }

    private static Demand demand(String id, int priority) {
        return new Demand(id, "chat", priority, 100, 1_000);
    }
}
