package org.ragwortrun.measure.budgets;

import org.apache.commons.rng.UniformRandomProvider;

/** Carries messages between data centers with delay, loss, late copies and cuts. */
final class Links {
    static final long KEEPALIVE_MICROS = 1_000_000;

    private static final long WITHIN_MICROS = 50;
    private static final long BETWEEN_MICROS = 500;
    private static final long COPY_DELAY_MICROS = 1_000_000;
    private static final int FRAME_BYTES = 12;

    private final EventQueue queue;
    private final UniformRandomProvider random;
    private final double loss;
    private final double copies;
    private int cut = -1;
    private long cutAtMicros;
    private long controlMessages;
    private long controlBytes;

    /**
     * Creates links.
     *
     * @param loss share of messages that are lost
     * @param copies share of messages of which a second copy arrives up to a second later
     */
    Links(EventQueue queue, UniformRandomProvider random, double loss, double copies) {
        this.queue = queue;
        this.random = random;
        this.loss = loss;
        this.copies = copies;
    }

    /** Cuts one data center off all others; -1 heals the cut. */
    void cut(int dataCenter) {
        cut = dataCenter;
        cutAtMicros = queue.micros();
    }

    boolean connected(int from, int to) {
        return from == to || from != cut && to != cut;
    }

    /** Tells whether one end has noticed by missing keepalives that the other is cut off. */
    boolean noticedLoss(int from, int to) {
        return !connected(from, to) && queue.micros() - cutAtMicros >= KEEPALIVE_MICROS;
    }

    /** Sends a message. It is lost if the link is cut when it is sent or when it would arrive. */
    void send(int from, int to, Runnable delivery) {
        if (!connected(from, to) || random.nextDouble() < loss) {
            return;
        }
        long delay = from == to ? WITHIN_MICROS : BETWEEN_MICROS;
        queue.after(delay, () -> deliver(from, to, delivery));
        if (random.nextDouble() < copies) {
            queue.after(delay + random.nextLong(COPY_DELAY_MICROS), () -> deliver(from, to, delivery));
        }
    }

    /** Sends a message between a router and the owner and counts it. */
    void sendControl(int from, int to, int payloadBytes, Runnable delivery) {
        controlMessages++;
        controlBytes += payloadBytes + FRAME_BYTES;
        send(from, to, delivery);
    }

    private void deliver(int from, int to, Runnable delivery) {
        if (connected(from, to)) {
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
