package org.ragwortrun.routing;

import static com.google.common.truth.Truth.assertThat;
import static org.ragwortrun.routing.QueueSimulation.MS;

import java.util.Random;
import java.util.function.Consumer;
import java.util.function.Predicate;
import org.junit.jupiter.api.Test;
import org.ragwortrun.routing.QueueSimulation.Call;
import org.ragwortrun.routing.QueueSimulation.Setup;

/** Replays loads through the admission queue and through the previous logic, which refuses at once. */
final class QueueSimulationTest {
    private static final long SEED = 11;
    private static final long GOAL = 200 * MS;
    private static final long SHORT_DEADLINE = 120 * MS;
    private static final long DEADLINE = 1_500 * MS;
    // One router with its share of the connections to four plain endpoints.
    private static final Setup ONE_ROUTER = new Setup(1, 4, 6, 24, 4, 43 * MS);
    private static final double CAPACITY = 16 / 0.043;

    private record Outcome(QueueSimulation queued, QueueSimulation refused) {
        /** Returns by how much the share of some calls that have a property is larger with the queue. */
        double gain(Predicate<Call> of, Predicate<Call> property) {
            return queued.share(of, property) - refused.share(of, property);
        }
    }

    private static Outcome replay(Setup setup, Consumer<QueueSimulation> load) {
        QueueSimulation queued = new QueueSimulation(setup, true, SEED);
        QueueSimulation refused = new QueueSimulation(setup, false, SEED);
        load.accept(queued);
        load.accept(refused);
        return new Outcome(queued.run(), refused.run());
    }

    /** Adds requests at random intervals. */
    private static void poisson(
            QueueSimulation s, String account, int priority, double perSecond, long fromMs, long toMs) {
        Random r = new Random(account.hashCode() * 31L + priority);
        double at = fromMs * MS;
        while (true) {
            at += -Math.log(1 - r.nextDouble()) / perSecond * 1e9;
            if (at >= toMs * MS) {
                return;
            }
            s.call(account, priority, (long) at, DEADLINE, true);
        }
    }

    private static boolean isShort(Call c) {
        return c.deadlineNanos - c.arrivedNanos < DEADLINE;
    }

    /**
     * Replays 118 requests/s of 43 ms with bursts of three times the rate, at one router of 4 endpoints x 6 slots of
     * which it may use four each. Guards against requests that miss their goal because they are refused for a moment's
     * lack of room.
     */
    @Test
    void burstsOfPlainRequests() {
        Outcome o = replay(ONE_ROUTER, s -> {
            poisson(s, "a", 1, 118, 0, 20_000);
            for (int t = 0; t < 20_000; t += 2_000) {
                poisson(s, "burst" + t, 1, 236, t, t + 700);
            }
        });
        assertThat(o.gain(c -> true, c -> c.within(GOAL))).isAtLeast(0.08);
        assertThat(o.gain(c -> true, Call::inTime)).isAtLeast(0.01);
    }

    /**
     * Replays one account, 8 times as large as others, at 7.5 times its usual rate beside 23 quiet ones, in all 1.3 times
     * what the router can send. Guards against quiet accounts that suffer from it.
     */
    @Test
    void oneLoudAccountBesideQuietOnes() {
        double usual = 1.3 * CAPACITY / (23 + 7.5 * 8);
        Outcome o = replay(ONE_ROUTER, s -> {
            for (int a = 0; a < 23; a++) {
                poisson(s, "quiet" + a, 1, usual, 0, 8_000);
            }
            poisson(s, "loud", 1, 8 * usual, 0, 1_500);
            poisson(s, "loud", 1, 8 * 7.5 * usual, 1_500, 8_000);
        });
        Predicate<Call> quiet = c -> c.account.startsWith("quiet");
        assertThat(o.gain(quiet, Call::inTime)).isAtLeast(0.15);
        assertThat(o.gain(quiet, c -> c.within(GOAL))).isAtLeast(0.3);
        // The loud account keeps at least half of what all accounts together get.
        double all = o.queued.share(c -> true, Call::inTime);
        assertThat(o.queued.share(quiet.negate(), Call::inTime)).isAtLeast(all / 2);
        assertThat(o.gain(c -> true, Call::inTime)).isAtLeast(0.05);
    }

    /**
     * Replays a burst of the least urgent kind to 2.4 times its rate, above capacity, while the others are at their usual
     * rate. Guards against urgent requests that are refused for less urgent ones.
     */
    @Test
    void burstOfLeastUrgentKind() {
        Outcome o = replay(ONE_ROUTER, s -> {
            poisson(s, "a", 0, 0.3 * CAPACITY, 0, 10_000);
            poisson(s, "b", 1, 0.3 * CAPACITY, 0, 10_000);
            poisson(s, "c", 2, 0.4 * CAPACITY, 0, 3_000);
            poisson(s, "c2", 2, 2.4 * 0.4 * CAPACITY, 3_000, 10_000);
        });
        assertThat(o.gain(c -> c.priority == 0, Call::inTime)).isAtLeast(0.2);
        assertThat(o.gain(c -> c.priority == 0, c -> c.within(GOAL))).isAtLeast(0.4);
        double urgent = o.queued.share(c -> c.priority == 0, Call::inTime);
        assertThat(urgent).isAtLeast(o.queued.share(c -> c.priority == 1, Call::inTime));
        assertThat(urgent).isAtLeast(o.queued.share(c -> c.priority == 2, Call::inTime));
    }

    /**
     * Replays callers that retry after 10 ms, up to six times, beside patient ones; together 1.4 times what the router can
     * send. Guards against patient callers that get less for their patience.
     */
    @Test
    void callersThatIgnoreTheirTime() {
        Outcome o = replay(ONE_ROUTER, s -> {
            poisson(s, "polite", 1, 0.6 * CAPACITY, 0, 8_000);
            Random r = new Random(5);
            for (int i = 0; i < 0.8 * CAPACITY * 8; i++) {
                s.call("rude", 1, (long) (r.nextDouble() * 8_000 * MS), DEADLINE, false);
            }
        });
        Predicate<Call> patient = c -> c.patient;
        assertThat(o.gain(patient, Call::inTime)).isAtLeast(0.3);
        assertThat(o.queued.share(patient, Call::inTime)).isAtLeast(o.queued.share(patient.negate(), Call::inTime));
    }

    /** Replays 400 requests at one moment. Guards against callers that all return at one moment as well. */
    @Test
    void manyCallersToldTheSameTime() {
        Outcome o = replay(ONE_ROUTER, s -> {
            for (int i = 0; i < 400; i++) {
                s.call("a" + i % 24, 1, i % 7, DEADLINE, true);
            }
        });
        assertThat(o.gain(c -> true, Call::inTime)).isAtLeast(0.8);
    }

    /**
     * Replays 200 requests with 120 ms behind a burst of 300 with 1.5 s. Guards against requests that are held until it is
     * too late for a retry, and against a burst that is refused for the sake of those with little time.
     */
    @Test
    void deadlinesShorterThanTheWait() {
        Outcome o = replay(ONE_ROUTER, s -> {
            for (int i = 0; i < 300; i++) {
                s.call("a" + i % 24, 1, i % 7, 1_500 * MS, true);
            }
            Random r = new Random(9);
            for (int i = 0; i < 200; i++) {
                s.call("a" + i % 24, 1, 20 * MS + (long) (r.nextDouble() * 500 * MS), SHORT_DEADLINE, true);
            }
        });
        assertThat(o.gain(c -> true, Call::inTime)).isAtLeast(0.4);
        assertThat(o.queued.share(QueueSimulationTest::isShort, Call::inTime)).isAtLeast(0.6);
        long slowestRefusal = o.queued.calls.stream()
                .filter(c -> isShort(c) && c.refusedNanos >= 0)
                .mapToLong(c -> c.refusedNanos - c.arrivedNanos)
                .max()
                .orElse(0);
        assertThat(slowestRefusal).isAtMost(SHORT_DEADLINE * 2 / 3);
    }

    /**
     * Replays 8 routers at 4 endpoints x 6 slots that are nearly fully used and become half as fast for 4 s. Guards against
     * requests that are sent only to be rejected, of which the most urgent suffer most.
     */
    @Test
    void fullEndpoints() {
        Outcome o = replay(new Setup(8, 4, 6, 24, 1_000, 43 * MS), s -> {
            poisson(s, "a", 1, 0.9 * 24 / 0.043, 0, 8_000);
            for (int e = 0; e < 4; e++) {
                s.slow(e, 2, 2_000 * MS);
                s.slow(e, 1, 6_000 * MS);
            }
            poisson(s, "b", 0, 0.1 * 24 / 0.043, 0, 8_000);
        });
        assertThat(o.queued.rejections).isAtMost(o.refused.rejections / 10);
        assertThat(o.gain(c -> c.priority == 0, Call::inTime)).isAtLeast(0.15);
        assertThat(o.gain(c -> true, Call::inTime)).isAtLeast(0.01);
        assertThat(o.queued.maxWaiting).isAtMost(1_024);
    }
}
