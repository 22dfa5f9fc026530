package org.ragwortrun.routing;

import static com.google.common.truth.Truth.assertThat;

import java.util.HashMap;
import java.util.Map;
import java.util.Random;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests the shedding of requests by a simulated host whose link transmits answers in order. */
final class LoadShedderTest {
    private static final long MS = 1_000_000L;
    private static final long SECOND = 1_000 * MS;
    private static final long INTERVAL = 100 * MS;
    private static final double LINK = 875_000;
    private static final long ANSWER = 8_000;
    private static final double CAPACITY_PER_SECOND = LINK / ANSWER;
    private static final long SEED = 1;

    private final Random random = new Random(SEED);
    private final Map<String, Integer> sent = new HashMap<>();
    private final Map<String, Integer> served = new HashMap<>();
    private long now;
    private long nextTick = INTERVAL;
    private long linkFree;
    private long queuedBytes;
    private double maxWaitAfterFirstSeconds;
    private final HostLoad load = new HostLoad(new HostLoad.Capacity(LINK, 0), new HostLoad.Counters(0, 0, 0), 0);
    private final LoadShedder shedder = new LoadShedder(0);

    /** A source of requests. */
    private record Source(String account, int priority, double perSecond) {}

    @Test
    void refusesNothingBelowThreshold() {
        run(20, true, new Source("a", 1, 0.6 * CAPACITY_PER_SECOND));
        assertThat(served).isEqualTo(sent);
    }

    /** Guards against refusals at a load near the threshold, whose random peaks a host can serve. */
    @Test
    void refusesHardlyAnythingNearThreshold() {
        run(60, true, new Source("a", 1, 0.78 * CAPACITY_PER_SECOND));
        assertThat(total(served)).isAtLeast((int) (0.99 * total(sent)));
    }

    /** Guards against a link that stays full, and against refusals of requests that could be served. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5})
    void bringsUtilizationToTargetWithinSecond(long seed) {
        random.setSeed(seed);
        Source urgent = new Source("a", 0, 0.4 * CAPACITY_PER_SECOND);
        Source normal = new Source("a", 1, 0.4 * CAPACITY_PER_SECOND);
        Source least = new Source("a", 2, 0.6 * CAPACITY_PER_SECOND);
        run(1, false, urgent, normal, least);
        long bytes = queuedBytes;
        run(1, false, urgent, normal, least);
        assertThat((queuedBytes - bytes) / LINK).isWithin(0.1).of(0.92);
        run(8, false, urgent, normal, least);
        assertThat(total(served)).isAtLeast((int) (0.9 * 10 * CAPACITY_PER_SECOND));
        assertThat(served.get("a0")).isAtLeast((int) (0.99 * sent.get("a0")));
        assertThat(served.get("a1")).isAtLeast((int) (0.95 * sent.get("a1")));
        assertThat(served.get("a2")).isAtMost((int) (0.5 * sent.get("a2")));
        assertThat(maxWaitAfterFirstSeconds).isLessThan(0.4);
    }

    /** Guards against a link whose excess cannot be measured, because it receives no more than its capacity. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5})
    void drainsReceivingLinkThatIsFull(long seed) {
        random.setSeed(seed);
        run(2, true, new Source("a", 1, 1.4 * CAPACITY_PER_SECOND));
        run(8, true, new Source("a", 1, 1.4 * CAPACITY_PER_SECOND));
        assertThat(total(served)).isAtLeast((int) (0.9 * 10 * CAPACITY_PER_SECOND));
        assertThat(maxWaitAfterFirstSeconds).isLessThan(0.8);
        assertThat(Math.max(0, linkFree - now)).isLessThan(200 * MS);
    }

    /** Guards against one account whose burst displaces the requests of others. */
    @Test
    void refusesFloodOfOneAccountFirst() {
        double usual = 0.08 * CAPACITY_PER_SECOND;
        run(
                10,
                false,
                new Source("flood", 1, 7.5 * usual),
                new Source("a", 1, usual),
                new Source("b", 1, usual),
                new Source("c", 1, usual),
                new Source("d", 1, usual),
                new Source("e", 1, usual),
                new Source("f", 1, usual),
                new Source("g", 1, usual),
                new Source("h", 1, usual));
        int quietSent = total(sent) - sent.get("flood1");
        int quietServed = total(served) - served.get("flood1");
        assertThat(quietServed).isAtLeast((int) (0.97 * quietSent));
        assertThat(served.get("flood1")).isLessThan((int) (0.8 * sent.get("flood1")));
    }

    @Test
    void acceptsEverythingAgainSoonAfterOverload() {
        run(5, false, new Source("a", 1, 1.6 * CAPACITY_PER_SECOND));
        run(2, false, new Source("a", 1, 0.3 * CAPACITY_PER_SECOND));
        assertThat(shedder.fraction()).isEqualTo(0);
        sent.clear();
        served.clear();
        run(5, false, new Source("a", 1, 0.3 * CAPACITY_PER_SECOND));
        assertThat(served).isEqualTo(sent);
    }

    /** Guards against refusals while something other than requests uses the processor, such as a start. */
    @Test
    void acceptsFewRequestsOfBusyProcess() {
        for (int i = 1; i <= 400; i++) {
            shedder.update(new HostUtilization(0, 0, 2), i * INTERVAL);
            assertThat(i % 20 != 0 || shedder.accepts(1, "a")).isTrue();
        }
    }

    @Test
    void refusesForProcessorAfterCompilation() {
        int refused = 0;
        for (int i = 1; i <= 200; i++) {
            shedder.update(new HostUtilization(0, 0, 1), i * INTERVAL);
            for (int r = 0; r < 5; r++) {
                refused += shedder.accepts(1, "a") ? 0 : 1;
            }
            assertThat(i < 150 && refused > 0).isFalse();
        }
        assertThat(refused).isGreaterThan(100);
    }

    /** Guards against memory that grows with the names of accounts. */
    @Test
    void boundsAccounts() {
        for (int i = 0; i < 100_000; i++) {
            shedder.accepts(i, "a" + i);
        }
        shedder.update(new HostUtilization(2, 2, 2), INTERVAL);
        assertThat(shedder.requestsPerSecond()).isGreaterThan(1_000.0);
        for (int i = 2; i <= 300; i++) {
            shedder.update(HostUtilization.IDLE, i * INTERVAL);
        }
        assertThat(shedder.requestsPerSecond()).isLessThan(1.0);
    }

    /**
     * Runs sources for some seconds.
     *
     * @param receiving whether bytes are counted when the link has carried them, otherwise when they are queued
     */
    private void run(int seconds, boolean receiving, Source... sources) {
        long begin = now;
        long end = now + seconds * SECOND;
        double sum = 0;
        for (Source s : sources) {
            sum += s.perSecond();
        }
        long next = now;
        while (next < end) {
            next += (long) (-Math.log(1 - random.nextDouble()) / sum * SECOND);
            while (nextTick <= Math.min(next, end)) {
                now = nextTick;
                tick(receiving);
                nextTick += INTERVAL;
            }
            now = next;
            request(draw(sum, sources), begin);
        }
        now = end;
    }

    private Source draw(double sum, Source... sources) {
        double point = random.nextDouble() * sum;
        for (Source s : sources) {
            point -= s.perSecond();
            if (point < 0) {
                return s;
            }
        }
        return sources[0];
    }

    private void tick(boolean receiving) {
        long waiting = (long) (Math.max(0, linkFree - now) * LINK / SECOND);
        long counted = queuedBytes - (receiving ? waiting : 0);
        load.sample(receiving ? new HostLoad.Counters(counted, 0, 0) : new HostLoad.Counters(0, counted, 0), now);
        shedder.update(load.utilization(), now);
    }

    private void request(Source s, long begin) {
        String key = s.account() + s.priority();
        sent.merge(key, 1, Integer::sum);
        served.putIfAbsent(key, 0);
        if (shedder.accepts(s.priority(), s.account())) {
            served.merge(key, 1, Integer::sum);
            queuedBytes += ANSWER;
            linkFree = Math.max(now, linkFree) + (long) (ANSWER / LINK * SECOND);
            if (now - begin > SECOND) {
                maxWaitAfterFirstSeconds = Math.max(maxWaitAfterFirstSeconds, (double) (linkFree - now) / SECOND);
            }
        }
    }

    private static int total(Map<String, Integer> counts) {
        return counts.values().stream().mapToInt(Integer::intValue).sum();
    }
}
