package org.ragwortrun.measure.config;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

final class ConfigJudgeTest {
    private static final long MS = 1_000_000;
    private static final Change CHANGE = new Change(1, 10_000 * MS);

    @Test
    void delayOfUndisturbedRouterIsWhole() {
        Delay delay = onlyDelay(judge(Disturbance.Kind.FROZEN, 0, 6_000), 10_300);
        assertThat(delay.ms()).isEqualTo(300);
        assertThat(delay.whole()).isTrue();
    }

    @Test
    void routerIsNotJudgedUntilThreeSecondsAfterDisturbance() {
        assertThat(delays(judge(Disturbance.Kind.LINKS, 7_000, 9_000), 11_999)).isEmpty();
        assertThat(onlyDelay(judge(Disturbance.Kind.LINKS, 7_000, 9_000), 12_500)
                        .ms())
                .isEqualTo(2_500);
    }

    /** Guards against a late change that is excused by a disturbance after it was due. */
    @Test
    void delayCountsUntilDisturbanceBegins() {
        Delay delay = onlyDelay(judge(Disturbance.Kind.RESTARTED, 12_400, 13_000), 13_100);
        assertThat(delay.ms()).isWithin(0.1).of(2_400);
        assertThat(delay.whole()).isFalse();
    }

    @Test
    void laterDisturbanceDoesNotHideEarlierMoment() {
        ConfigJudge judge = new ConfigJudge(Map.of(
                "r1",
                List.of(
                        new Disturbance(Disturbance.Kind.LINKS, 13_000 * MS, 13_100 * MS),
                        new Disturbance(Disturbance.Kind.FROZEN, 10_500 * MS, 11_000 * MS))));
        assertThat(onlyDelay(judge, 14_000).ms()).isWithin(0.1).of(500);
    }

    @Test
    void changeThatWasNeverSeenIsLateUntilTheEnd() {
        List<Delay> delays = judge(Disturbance.Kind.FROZEN, 0, 1)
                .delays(List.of(new Arrival("r1", CHANGE, 20_000 * MS, false)), ConfigJudge.ALL);
        assertThat(delays.get(0).ms()).isEqualTo(10_000);
        assertThat(delays.get(0).whole()).isFalse();
    }

    @Test
    void changeSeenBeforeItsAcknowledgementHasNoDelay() {
        assertThat(onlyDelay(judge(Disturbance.Kind.FROZEN, 0, 1), 9_900).ms()).isEqualTo(0);
    }

    @Test
    void harmOfSomeLinksCountsOnlyIfAllLinksAreNeeded() {
        ConfigJudge judge = judge(Disturbance.Kind.SOME_LINKS, 9_000, 11_000);
        List<Arrival> arrivals = List.of(new Arrival("r1", CHANGE, 10_900 * MS, true));
        assertThat(judge.delays(arrivals, ConfigJudge.ALL)).isEmpty();
        assertThat(judge.delays(arrivals, ConfigJudge.WITHOUT_MAJORITY)).hasSize(1);
    }

    @Test
    void denialIsFalseIfItsRequestWasSentAfterTheLimit() {
        ConfigJudge judge = judge(Disturbance.Kind.FROZEN, 0, 1);
        assertThat(judge.isFalse(denial(12_000, 15_000))).isFalse();
        assertThat(judge.isFalse(denial(12_001, 12_002))).isTrue();
    }

    @Test
    void routerWasFrozenUntilThreeSecondsAfterItWasResumed() {
        ConfigJudge judge = judge(Disturbance.Kind.FROZEN, 12_000, 13_000);
        assertThat(judge.wasFrozen(denial(11_500, 11_900))).isFalse();
        assertThat(judge.wasFrozen(denial(11_500, 13_100))).isTrue();
        assertThat(judge.wasFrozen(denial(15_999, 16_500))).isTrue();
        assertThat(judge.wasFrozen(denial(16_000, 16_500))).isFalse();
        assertThat(judge(Disturbance.Kind.LINKS, 12_000, 13_000).wasFrozen(denial(12_500, 12_600)))
                .isFalse();
    }

    private static ConfigJudge judge(Disturbance.Kind kind, long fromMs, long toMs) {
        return new ConfigJudge(Map.of("r1", List.of(new Disturbance(kind, fromMs * MS, toMs * MS))));
    }

    private static List<Delay> delays(ConfigJudge judge, long seenMs) {
        return judge.delays(List.of(new Arrival("r1", CHANGE, seenMs * MS, true)), ConfigJudge.ALL);
    }

    private static Delay onlyDelay(ConfigJudge judge, long seenMs) {
        List<Delay> delays = delays(judge, seenMs);
        assertThat(delays).hasSize(1);
        return delays.get(0);
    }

    private static Denial denial(long sentMs, long answeredMs) {
        return new Denial("r1", CHANGE, sentMs * MS, answeredMs * MS, 404);
    }
}
