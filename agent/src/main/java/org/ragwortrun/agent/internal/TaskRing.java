package org.ragwortrun.agent.internal;

/** Bounded ring of the request duty. */
interface TaskRing {
    /** Queues a task and returns false if the ring is full. */
    boolean offer(Runnable task);
}
