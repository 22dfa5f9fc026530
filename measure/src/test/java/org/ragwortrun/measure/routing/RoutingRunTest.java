package org.ragwortrun.measure.routing;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.util.Collections;
import java.util.stream.IntStream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.ragwortrun.measure.routing.RoutingLoad.Disturbance;
import org.ragwortrun.measure.routing.RoutingLoad.Sharing;

/** Plays each load with the same requests through placement by learned rates and by fixed rates. */
final class RoutingRunTest {
    private static final int ENDPOINTS = 12;
    private static final int FAST_ENDPOINT = 1;
    private static final long SLOW_FROM_MS = 10_000;
    private static final long SLOW_TO_MS = 16_000;

    /** Speeds 0.55 and 1.2 side by side near their capacity: the slow ones get as many requests as the others. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3})
    void servesMoreWithUnequalSpeeds(long seed) {
        RoutingLoad load = RoutingLoads.model(ENDPOINTS, 38, 0);
        assertServedMore(load, seed, 0.06);
        RoutingRun learned = play(load, Policy.LEARNED_RATES, seed);
        // In proportion to their speeds, the slow endpoints would get 0.13.
        double slow = IntStream.of(0, 4, 8)
                .mapToDouble(e -> learned.shareOf(e, 5, 25))
                .sum();
        assertThat(slow).isAtLeast(0.03);
        assertThat(slow).isAtMost(0.16);
    }

    /** The same, and one endpoint in three has a tenth of the memory: requests wait for memory there. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3})
    void servesMoreWithUnequalSpeedsAndMemory(long seed) {
        assertServedMore(withMemory(RoutingLoads.model(ENDPOINTS, 34, 0), 60_000), seed, 0.06);
    }

    /** One endpoint in three cannot hold the largest prompts: they are sent there and block its queue. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3})
    void sendsNoRequestToEndpointThatCannotHoldIt(long seed) {
        RoutingLoad load = withMemory(RoutingLoads.model(ENDPOINTS, 20, 0), 8_000);
        assertThat(play(load, Policy.FIXED_RATES, seed).tooLarge()).isAtLeast(200);
        assertThat(play(load, Policy.LEARNED_RATES, seed).tooLarge()).isEqualTo(0);
        assertServedMore(load, seed, 0.08);
    }

    /** No endpoint can hold the largest prompts: they are not sent at all, or all requests wait behind them. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3})
    void sendsRequestLargerThanAnyMemory(long seed) {
        RoutingLoad load = RoutingLoads.model(ENDPOINTS, 2, 0).withKvTokens(Collections.nCopies(ENDPOINTS, 8_000L));
        assertThat(play(load, Policy.LEARNED_RATES, seed).tooLarge()).isGreaterThan(100);
        assertServedMore(load, seed, 0.05);
    }

    /** An endpoint becomes five times slower for six seconds: it keeps its requests, or stays idle after it recovers. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3})
    void sparesEndpointWhileItIsSlow(long seed) {
        RoutingLoad load = RoutingLoads.model(ENDPOINTS, 24, 0)
                .with(new Disturbance(FAST_ENDPOINT, SLOW_FROM_MS, SLOW_TO_MS, 5, false));
        RoutingRun learned = play(load, Policy.LEARNED_RATES, seed);
        RoutingRun fixed = play(load, Policy.FIXED_RATES, seed);
        assertServedMore(load, seed, 0.02);
        double before = learned.shareOf(FAST_ENDPOINT, 5, 10);
        assertThat(learned.shareOf(FAST_ENDPOINT, 11, 12)).isLessThan(0.75 * before);
        assertThat(learned.shareOf(FAST_ENDPOINT, 12, 16)).isLessThan(0.35 * before);
        assertThat(learned.shareOf(FAST_ENDPOINT, 12, 16)).isLessThan(0.75 * fixed.shareOf(FAST_ENDPOINT, 12, 16));
        assertThat(learned.shareOf(FAST_ENDPOINT, 19, 24)).isGreaterThan(0.5 * before);
    }

    /** A slow endpoint is replaced by a new incarnation: what was learned about the old one spares the new one. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3})
    void forgetsEarlierIncarnation(long seed) {
        RoutingLoad load = RoutingLoads.model(ENDPOINTS, 24, 0);
        RoutingRun same = play(load.with(slow(false)), Policy.LEARNED_RATES, seed);
        RoutingRun restarted = play(load.with(slow(true)), Policy.LEARNED_RATES, seed);
        assertThat(restarted.shareOf(FAST_ENDPOINT, 16, 20)).isGreaterThan(1.5 * same.shareOf(FAST_ENDPOINT, 16, 20));
        assertServedMore(load.with(slow(true)), seed, 0.02);
    }

    /** Eight requests in ten share one part: the endpoint that has it cached is overloaded. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3})
    void servesMoreWithHotPart(long seed) {
        assertServedMore(RoutingLoads.model(ENDPOINTS, 38, 0.8), seed, 0.03);
    }

    /** Routers with one request a second beside routers with 75: the quiet ones learn little themselves. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3})
    void servesQuietRoutersAsWell(long seed) {
        RoutingLoad load = RoutingLoads.model(8, RoutingLoads.busyAndQuiet(4, 75, 20), 0);
        RoutingRun learned = play(load, Policy.LEARNED_RATES, seed);
        RoutingRun fixed = play(load, Policy.FIXED_RATES, seed);
        assertThat(quietShare(learned)).isAtLeast(learned.servedShare() - 0.02);
        assertThat(quietShare(learned)).isAtLeast(quietShare(fixed) - 0.01);
        assertServedMore(load, seed, 0.005);
    }

    /** Reports between routers are late, missing or false: requests are placed by values that are not true. */
    @ParameterizedTest
    @EnumSource(Sharing.class)
    void servesMoreWhateverReportsSay(Sharing sharing) {
        for (long seed = 1; seed <= 3; seed++) {
            assertServedMore(RoutingLoads.model(ENDPOINTS, 38, 0).with(sharing), seed, 0.05);
        }
    }

    /** Plain services of speeds 0.55 and 1.2: the slow one gets as many requests as the others. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3})
    void servesMoreOfPlainRequests(long seed) {
        RoutingLoad load = RoutingLoads.plain(240);
        RoutingRun learned = play(load, Policy.LEARNED_RATES, seed);
        RoutingRun fixed = play(load, Policy.FIXED_RATES, seed);
        assertThat(1 - learned.servedShare()).isLessThan(0.75 * (1 - fixed.servedShare()));
    }

    private static Disturbance slow(boolean restarts) {
        return new Disturbance(FAST_ENDPOINT, 5_000, SLOW_TO_MS, 5, restarts);
    }

    private static double quietShare(RoutingRun run) {
        return IntStream.range(4, 24).mapToDouble(run::servedShare).average().orElse(0);
    }

    private static RoutingLoad withMemory(RoutingLoad load, long leastTokens) {
        return load.withKvTokens(IntStream.range(0, load.speeds().size())
                .mapToObj(e -> e % 3 == 2 ? leastTokens : load.kvTokens().get(e))
                .toList());
    }

    private static void assertServedMore(RoutingLoad load, long seed, double margin) {
        double learned = play(load, Policy.LEARNED_RATES, seed).servedShare();
        double fixed = play(load, Policy.FIXED_RATES, seed).servedShare();
        assertWithMessage("share served with seed " + seed + ", by fixed rates " + fixed)
                .that(learned)
                .isAtLeast(fixed + margin);
    }

    private static RoutingRun play(RoutingLoad load, Policy policy, long seed) {
        return new RoutingRun(load, policy, seed).play();
    }
}
