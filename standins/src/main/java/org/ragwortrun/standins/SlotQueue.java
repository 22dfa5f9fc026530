package org.ragwortrun.standins;

import java.util.Comparator;
import java.util.PriorityQueue;

/** The slots of a stand-in engine. Requests wait for a slot in order of priority number, lowest first. */
final class SlotQueue {
    private record Ticket(int priority, long sequence) {}

    private final int slots;
    private final PriorityQueue<Ticket> waiting =
            new PriorityQueue<>(Comparator.comparingInt(Ticket::priority).thenComparingLong(Ticket::sequence));
    private int running;
    private long nextSequence;

    SlotQueue(int slots) {
        this.slots = slots;
    }

    synchronized void acquire(int priority) throws InterruptedException {
        Ticket own = new Ticket(priority, nextSequence++);
        waiting.add(own);
        try {
            while (running >= slots || !own.equals(waiting.peek())) {
                wait();
            }
            running++;
        } finally {
            waiting.remove(own);
            notifyAll();
        }
    }

    synchronized void release() {
        running--;
        notifyAll();
    }

    synchronized int running() {
        return running;
    }

    synchronized int waiting() {
        return waiting.size();
    }
}
