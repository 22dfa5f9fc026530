package org.ragwortrun.routing;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;

/** Tests the measurement of a host's utilization. */
final class HostLoadTest {
    private static final long MS = 1_000_000L;
    private static final long INTERVAL = 100 * MS;
    private static final HostLoad.Capacity CAPACITY = new HostLoad.Capacity(1_000, 0.5);

    private final HostLoad load = new HostLoad(CAPACITY, new HostLoad.Counters(0, 0, 0), 0);
    private long now;
    private long in;
    private long out;
    private long processor;

    @Test
    void measuresEachResourceAgainstItsCapacity() {
        run(10, 50, 120, 25 * MS);
        HostUtilization u = load.utilization();
        assertThat(u.in()).isWithin(0.02).of(0.5);
        assertThat(u.out()).isWithin(0.02).of(1.2);
        assertThat(u.processor()).isWithin(0.02).of(0.5);
        assertThat(u.link()).isEqualTo(u.out());
        assertThat(load.ageNanos(now + 7)).isEqualTo(7);
    }

    /** Guards against a single burst that counts as overload, and against an overload that shows too late. */
    @Test
    void smoothsOverSomeHundredMilliseconds() {
        run(10, 0, 0, 0);
        run(1, 100, 0, 0);
        assertThat(load.utilization().in()).isLessThan(0.5);
        run(4, 100, 0, 0);
        assertThat(load.utilization().in()).isGreaterThan(0.9);
    }

    /** Guards against a process that continues to refuse requests after a suspension because of the load before it. */
    @Test
    void replacesOldValuesAfterSuspension() {
        run(10, 140, 140, 0);
        now += 5_000 * MS;
        load.sample(new HostLoad.Counters(in, out, processor), now);
        assertThat(load.utilization().highest()).isLessThan(0.01);
    }

    @Test
    void ignoresResourcesOfUnknownCapacity() {
        HostLoad unknown = new HostLoad(new HostLoad.Capacity(0, 0), new HostLoad.Counters(0, 0, 0), 0);
        unknown.sample(new HostLoad.Counters(1_000_000, 1_000_000, 1_000_000_000), INTERVAL);
        assertThat(unknown.utilization()).isEqualTo(HostUtilization.IDLE);
    }

    @Test
    void estimatesPacketOverhead() {
        assertThat(PacketOverhead.withHeaders(0)).isEqualTo(0);
        assertThat(PacketOverhead.withHeaders(100)).isEqualTo(166);
        assertThat(PacketOverhead.withHeaders(1_449)).isEqualTo(1_449 + 2 * 66);
        assertThat(PacketOverhead.acknowledgements(0)).isEqualTo(0);
        assertThat(PacketOverhead.acknowledgements(100)).isEqualTo(66);
        assertThat(PacketOverhead.acknowledgements(3 * 1_448)).isEqualTo(2 * 66);
    }

    private void run(int intervals, long inBytes, long outBytes, long processorNanos) {
        for (int i = 0; i < intervals; i++) {
            now += INTERVAL;
            in += inBytes;
            out += outBytes;
            processor += processorNanos;
            load.sample(new HostLoad.Counters(in, out, processor), now);
        }
    }
}
