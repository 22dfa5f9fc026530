package org.ragwortrun.routing;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;
import org.ragwortrun.routing.AdmissionQueue.Entry;
import org.ragwortrun.routing.AdmissionQueue.Place;

final class AdmissionQueueTest {
    private static final long MS = 1_000_000;
    private static final long LATE = 10_000 * MS;

    private final AdmissionQueue<String> queue = new AdmissionQueue<>(100, 1_000);

    private Entry<String> add(String item, String account, int priority, long deadlineMs) {
        return add(item, account, priority, deadlineMs, false);
    }

    private Entry<String> add(String item, String account, int priority, long deadlineMs, boolean returning) {
        return queue.add(item, new Place(account, priority, returning, deadlineMs * MS, LATE, 1, 1), 0);
    }

    private List<String> drain() {
        List<String> order = new ArrayList<>();
        while (!queue.isEmpty()) {
            Entry<String> e = queue.first(1).get(0);
            queue.serve(e);
            order.add(e.item());
        }
        return order;
    }

    /** Guards against urgent requests that wait behind less urgent ones, and early deadlines behind late ones. */
    @Test
    void ordersByPriorityThenByDeadline() {
        add("least", "a", 2, 1);
        add("late", "a", 1, 30);
        add("early", "b", 1, 20);
        add("urgent", "c", 0, 90);
        assertThat(drain()).containsExactly("urgent", "early", "late", "least").inOrder();
    }

    /** Guards against an account with many requests, all with early deadlines, that is served before the others. */
    @Test
    void accountsTakeTurns() {
        for (int i = 0; i < 6; i++) {
            add("many" + i, "many", 1, i);
        }
        add("few0", "few", 1, 100);
        add("few1", "few", 1, 101);
        assertThat(drain().subList(0, 4))
                .containsExactly("many0", "few0", "many1", "few1")
                .inOrder();
    }

    /** Guards against an account that gains capacity by leaving and entering the queue again. */
    @Test
    void accountThatEntersAgainKeepsItsPlace() {
        List<String> served = new ArrayList<>();
        for (int i = 0; i < 20; i++) {
            add("steady" + i, "steady", 1, 1_000 + i);
        }
        for (int i = 0; i < 20; i++) {
            if (i % 2 == 0) {
                add("again" + i, "again", 1, i);
            }
            Entry<String> e = queue.first(1).get(0);
            queue.serve(e);
            served.add(e.item());
        }
        assertThat(served.stream().filter(s -> s.startsWith("steady")).count()).isAtLeast(10);
    }

    /** Guards against a caller that returns as told and waits behind new requests. */
    @Test
    void returningCallersGoBeforeNewOnesOfTheirPriority() {
        add("new", "a", 1, 1);
        add("urgent", "c", 0, 50);
        add("returning", "b", 1, 90, true);
        assertThat(drain()).containsExactly("urgent", "returning", "new").inOrder();
    }

    /** Guards against an account that goes before others because many of its requests were refused. */
    @Test
    void returningRequestsOfOneAccountDoNotExceedItsShare() {
        for (int i = 0; i < 8; i++) {
            add("returning" + i, "many", 1, i, true);
        }
        add("new0", "few", 1, 50);
        add("new1", "few", 1, 51);
        List<String> order = drain();
        assertThat(order.subList(0, 6)).containsAtLeast("new0", "new1");
        assertThat(order.get(0)).isEqualTo("returning0");
    }

    /** Guards against a weight that has no effect: half the cost is twice the share. */
    @Test
    void sharesFollowWeights() {
        for (int i = 0; i < 30; i++) {
            queue.add("heavy", new Place("heavy", 1, false, LATE, LATE, 1, 0.5), 0);
            queue.add("light", new Place("light", 1, false, LATE, LATE, 1, 1), 0);
        }
        long heavy = drain().subList(0, 30).stream().filter("heavy"::equals).count();
        assertThat(heavy).isAtLeast(19);
        assertThat(heavy).isAtMost(21);
    }

    /** Guards against an urgent request that is refused while less urgent ones wait, and against unbounded memory. */
    @Test
    void displacesLeastUrgentOfLongestAccountFirst() {
        AdmissionQueue<String> small = new AdmissionQueue<>(3, 1_000);
        small.add("few", new Place("few", 2, false, 1, LATE, 1, 1), 0);
        small.add("many0", new Place("many", 2, false, 1, LATE, 1, 1), 0);
        small.add("many1", new Place("many", 2, false, 2, LATE, 1, 1), 0);
        small.add("urgent", new Place("many", 0, false, 9, LATE, 1, 1), 0);
        assertThat(small.displace().stream().map(Entry::item)).containsExactly("many1");
        Entry<String> last = small.add("last", new Place("other", 3, false, 1, LATE, 1, 1), 0);
        assertThat(small.displace()).containsExactly(last);
        assertThat(last.isQueued()).isFalse();
    }

    /** Guards against a few large bodies that exhaust the heap. */
    @Test
    void boundsBytes() {
        for (int i = 0; i < 5; i++) {
            queue.add("r" + i, new Place("a", 1, false, i, LATE, 300, 1), 0);
            queue.displace();
        }
        assertThat(queue.bytes()).isAtMost(1_000L);
        assertThat(queue.size()).isEqualTo(3);
    }

    /** Guards against room that is given to a request whose answer would be too late. */
    @Test
    void removesRequestsThatCanNoLongerBeAnswered() {
        Entry<String> soon = queue.add("soon", new Place("a", 0, false, 9 * MS, 5 * MS, 1, 1), 0);
        add("later", "a", 2, 20);
        assertThat(queue.expire(4 * MS)).isEmpty();
        assertThat(queue.nextExpiryNanos().getAsLong()).isEqualTo(5 * MS);
        assertThat(queue.expire(5 * MS)).containsExactly(soon);
        assertThat(drain()).containsExactly("later");
        assertThat(queue.bytes()).isEqualTo(0);
    }

    /** Guards against an estimate that counts the requests of a large account as ahead of a small one's. */
    @Test
    void countsRequestsAheadByFairShare() {
        for (int i = 0; i < 50; i++) {
            add("many", "many", 1, 1);
        }
        add("urgent", "x", 0, 1);
        assertThat(queue.ahead("few", 1, false, 2 * MS)).isEqualTo(2);
        assertThat(queue.ahead("few", 1, false, 0)).isEqualTo(1);
        assertThat(queue.ahead("few", 1, true, 2 * MS)).isEqualTo(1);
        assertThat(queue.ahead("many", 1, false, 2 * MS)).isEqualTo(51);
        assertThat(queue.ahead("few", 0, false, 2 * MS)).isEqualTo(1);
        assertThat(queue.ahead("few", 2, false, 2 * MS)).isEqualTo(51);
    }

    /** Guards against orders that become inconsistent when requests leave from all positions. */
    @Test
    void survivesArbitraryOperations() {
        for (int seed = 0; seed < 20; seed++) {
            Random random = new Random(seed);
            AdmissionQueue<Integer> q = new AdmissionQueue<>(200, 1 << 20);
            List<Entry<Integer>> entries = new ArrayList<>();
            for (int i = 0; i < 5_000; i++) {
                long now = i * MS;
                entries.add(q.add(
                        i,
                        new Place(
                                "a" + random.nextInt(12),
                                random.nextInt(3),
                                random.nextInt(4) == 0,
                                now + random.nextInt(1_000) * MS,
                                now + (1 + random.nextInt(600)) * MS,
                                random.nextInt(100),
                                random.nextBoolean() ? 1 : 0.5),
                        now));
                q.displace();
                q.expire(now);
                Entry<Integer> any = entries.get(random.nextInt(entries.size()));
                if (random.nextBoolean()) {
                    q.remove(any);
                } else if (!q.isEmpty()) {
                    q.serve(q.first(4).get(0));
                }
            }
            List<Entry<Integer>> queued =
                    entries.stream().filter(Entry::isQueued).toList();
            assertThat(q.all()).containsExactlyElementsIn(queued);
            assertThat(q.bytes())
                    .isEqualTo(queued.stream().mapToLong(e -> e.place().bytes()).sum());
            queued.forEach(q::serve);
            assertThat(q.isEmpty()).isTrue();
            assertThat(q.bytes()).isEqualTo(0);
        }
    }

    /** Guards against decisions that delay all requests of a router; 4,000 requests wait in 340 accounts. */
    @Test
    void decisionsTakeUnderTwentyMicroseconds() {
        Random random = new Random(7);
        AdmissionQueue<Integer> q = new AdmissionQueue<>(4_000, 1L << 40);
        double best = Double.MAX_VALUE;
        for (int round = 0; round < 8; round++) {
            int decisions = 20_000;
            long begin = System.nanoTime();
            for (int i = 0; i < decisions; i++) {
                String account = "a" + random.nextInt(340);
                int priority = random.nextInt(3);
                q.ahead(account, priority, false, i);
                q.add(i, new Place(account, priority, false, random.nextInt(), LATE, 1, 1), 0);
                q.displace();
                q.expire(0);
                if (i % 2 == 0) {
                    q.serve(q.first(4).get(0));
                }
            }
            best = Math.min(best, (System.nanoTime() - begin) / (double) decisions);
        }
        assertThat(best).isLessThan(20_000.0);
    }
}
