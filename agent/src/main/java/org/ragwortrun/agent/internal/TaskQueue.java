package org.ragwortrun.agent.internal;

/** Bounded task queue of the request thread. */
interface TaskQueue {
    /** Queues a task and returns false if the queue is full. */
    boolean offer(Runnable task);
}
