package org.ragwortrun.core.concurrent;

import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.Executor;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.ThreadFactory;
import java.util.concurrent.ThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.ragwortrun.core.log.Event;

/** Executor with one thread and a bounded queue of tasks. */
public final class SingleThreadExecutor implements Executor, AutoCloseable {
    private static final Logger LOG = LogManager.getLogger(SingleThreadExecutor.class);
    private static final long CLOSE_TIMEOUT_MS = 2_000;

    private final String name;
    private final ThreadPoolExecutor executor;

    /**
     * Starts the thread.
     *
     * @param name name of the thread
     * @param queueSize maximum number of waiting tasks; further tasks are rejected
     */
    public SingleThreadExecutor(String name, int queueSize) {
        this.name = name;
        BlockingQueue<Runnable> queue = new ArrayBlockingQueue<>(queueSize);
        executor = new ThreadPoolExecutor(1, 1, 0, TimeUnit.SECONDS, queue, threadFactory(name));
        executor.prestartAllCoreThreads();
    }

    /**
     * Queues a task.
     *
     * @throws RejectedExecutionException if the queue is full or the executor is closed
     */
    @Override
    public void execute(Runnable task) {
        executor.execute(task);
    }

    /** Queues a task. Returns false if the queue is full or the executor is closed. */
    public boolean offer(Runnable task) {
        try {
            executor.execute(task);
            return true;
        } catch (RejectedExecutionException e) {
            return false;
        }
    }

    public int waiting() {
        return executor.getQueue().size();
    }

    public String name() {
        return name;
    }

    /** Runs the waiting tasks, then ends the thread. Interrupts them after two seconds. */
    @Override
    public void close() {
        stop(executor);
    }

    /** Creates a timer with one thread for periodic tasks of a daemon. */
    public static ScheduledExecutorService timer(String name) {
        ScheduledThreadPoolExecutor timer = new ScheduledThreadPoolExecutor(1, threadFactory(name));
        // A cancelled timeout would otherwise keep its request in memory until it expires.
        timer.setRemoveOnCancelPolicy(true);
        return timer;
    }

    /**
     * Runs a task repeatedly, with a fixed delay after each run.
     *
     * <p>An unexpected failure is logged and does not prevent later runs. The executor alone would never run the task
     * again, and the daemon would continue with, for example, an outdated list of endpoints.
     *
     * @param firstMs delay before the first run in milliseconds
     * @param pauseMs delay after each run in milliseconds
     */
    public static void repeat(ScheduledExecutorService timer, Runnable task, long firstMs, long pauseMs) {
        timer.scheduleWithFixedDelay(guarded(task), firstMs, pauseMs, TimeUnit.MILLISECONDS);
    }

    /**
     * Returns a task that logs an unexpected failure and then ends normally. This includes errors such as an exhausted
     * heap, which an executor would drop without a trace.
     */
    @SuppressWarnings("PMD.AvoidCatchingGenericException")
    public static Runnable guarded(Runnable task) {
        return () -> {
            try {
                task.run();
            } catch (RuntimeException | Error e) {
                logFailure(e);
            }
        };
    }

    /** Logs a failure, unless that fails too, for example because there is no memory for the line. */
    @SuppressWarnings({"PMD.AvoidCatchingGenericException", "PMD.EmptyCatchBlock"})
    private static void logFailure(Throwable failure) {
        try {
            Event.of("task-failed")
                    .with("thread", Thread.currentThread().getName())
                    .error(LOG, failure);
        } catch (RuntimeException | Error e) {
            // The next run of the task matters more than the line.
        }
    }

    /** Shuts down an executor after its waiting tasks have run. Interrupts them after two seconds. */
    public static void stop(ExecutorService executor) {
        executor.shutdown();
        try {
            if (!executor.awaitTermination(CLOSE_TIMEOUT_MS, TimeUnit.MILLISECONDS)) {
                executor.shutdownNow();
            }
        } catch (InterruptedException e) {
            executor.shutdownNow();
            Thread.currentThread().interrupt();
        }
    }

    private static ThreadFactory threadFactory(String name) {
        return task -> {
            Thread thread = new Thread(task, name);
            thread.setDaemon(true);
            return thread;
        };
    }
}
