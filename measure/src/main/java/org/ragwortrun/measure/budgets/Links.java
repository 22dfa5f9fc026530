package org.ragwortrun.measure.budgets;

import org.apache.commons.rng.UniformRandomProvider;

/** Delivers messages between data centers with delay, loss, late duplicates and partitions. */
final class Links {
    static final long KEEPALIVE_MICROS = 1_000_000;

    private static final long LOCAL_DELAY_MICROS = 50;
    private static final long REMOTE_DELAY_MICROS = 500;
    private static final long MAX_DUPLICATE_DELAY_MICROS = 1_000_000;
    private static final int FRAME_BYTES = 12;

    private final EventQueue queue;
    private final UniformRandomProvider random;
    private final double lossRate;
    private final double duplicateRate;
    private int partitionedDataCenter = -1;
    private long partitionedAtMicros;
    private long controlMessages;
    private long controlBytes;

    /**
     * Creates links.
     *
     * @param lossRate fraction of messages that are lost
     * @param duplicateRate fraction of messages that are delivered a second time, up to a second later
     */
    Links(EventQueue queue, UniformRandomProvider random, double lossRate, double duplicateRate) {
        this.queue = queue;
        this.random = random;
        this.lossRate = lossRate;
        this.duplicateRate = duplicateRate;
    }

    /** Partitions one data center from all others; -1 heals the partition. */
    void partition(int dataCenter) {
        partitionedDataCenter = dataCenter;
        partitionedAtMicros = queue.micros();
    }

    boolean isConnected(int from, int to) {
        return from == to || from != partitionedDataCenter && to != partitionedDataCenter;
    }

    /** Tells whether one end has detected, by missing keepalives, that it is partitioned from the other. */
    boolean hasDetectedPartition(int from, int to) {
        return !isConnected(from, to) && queue.micros() - partitionedAtMicros >= KEEPALIVE_MICROS;
    }

    /** Sends a message. It is lost if its ends are partitioned when it is sent or when it would arrive. */
    void send(int from, int to, Runnable delivery) {
        if (!isConnected(from, to) || random.nextDouble() < lossRate) {
            return;
        }
        long delay = from == to ? LOCAL_DELAY_MICROS : REMOTE_DELAY_MICROS;
        queue.after(delay, () -> deliver(from, to, delivery));
        if (random.nextDouble() < duplicateRate) {
            queue.after(delay + random.nextLong(MAX_DUPLICATE_DELAY_MICROS), () -> deliver(from, to, delivery));
        }
    }

    /** Sends a message between a router and the owner and counts it. */
    void sendControl(int from, int to, int payloadBytes, Runnable delivery) {
        controlMessages++;
        controlBytes += payloadBytes + FRAME_BYTES;
        send(from, to, delivery);
    }

    private void deliver(int from, int to, Runnable delivery) {
        if (isConnected(from, to)) {
            delivery.run();
        }
    }

    long controlMessages() {
        return controlMessages;
    }

    long controlBytes() {
        return controlBytes;
    }
}
