package org.ragwortrun.standins;

import java.util.Comparator;
import java.util.PriorityQueue;

/** Slots of a stand-in engine; lower priority numbers go first. */
final class SlotQueue {
    private record Ticket(int priority, long order) {}

    private final int slots;
    private final PriorityQueue<Ticket> waiting =
            new PriorityQueue<>(Comparator.comparingInt(Ticket::priority).thenComparingLong(Ticket::order));
    private int running;
    private long next;

    SlotQueue(int slots) {
        this.slots = slots;
    }

    synchronized void acquire(int priority) throws InterruptedException {
        Ticket own = new Ticket(priority, next++);
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
