package org.ragwortrun.measure.budgets;

import java.util.Comparator;
import java.util.PriorityQueue;
import org.ragwortrun.core.time.Time;

/** Runs tasks in the order of their virtual time; tasks with the same time run in insertion order. */
public final class EventQueue implements Time {
    private static final long EPOCH_MS = 1_800_000_000_000L;

    private final PriorityQueue<Event> events =
            new PriorityQueue<>(Comparator.comparingLong(Event::atMicros).thenComparingLong(Event::sequence));
    private long nowMicros;
    private long sequence;

    @Override
    public long nanos() {
        return nowMicros * 1_000;
    }

    @Override
    public long wallMillis() {
        return EPOCH_MS + nowMicros / 1_000;
    }

    /** Returns the virtual time in microseconds. */
    public long micros() {
        return nowMicros;
    }

    /** Runs a task at a time in microseconds, or at the current time if that has passed. */
    public void at(long micros, Runnable task) {
        events.add(new Event(Math.max(micros, nowMicros), sequence++, task));
    }

    /** Runs a task after a time in microseconds. */
    public void after(long micros, Runnable task) {
        at(nowMicros + micros, task);
    }

    /** Runs all tasks up to a time in microseconds. */
    public void runUntil(long micros) {
        while (!events.isEmpty() && events.peek().atMicros <= micros) {
            perform(events.poll());
        }
        nowMicros = micros;
    }

    private void perform(Event event) {
        nowMicros = event.atMicros;
        event.task.run();
    }

    private record Event(long atMicros, long sequence, Runnable task) {}
}
