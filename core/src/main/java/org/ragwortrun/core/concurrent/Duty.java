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

/** One thread with one job, fed through a bounded ring of tasks. */
public final class Duty implements Executor, AutoCloseable {
    private static final Logger LOG = LogManager.getLogger(Duty.class);
    private static final long CLOSE_TIMEOUT_MS = 2_000;

    private final String name;
    private final ThreadPoolExecutor executor;

    /**
     * Starts a duty.
     *
     * @param name name of the thread
     * @param ringSize tasks that may wait; one more is rejected
     */
    public Duty(String name, int ringSize) {
        this.name = name;
        BlockingQueue<Runnable> ring = new ArrayBlockingQueue<>(ringSize);
        executor = new ThreadPoolExecutor(1, 1, 0, TimeUnit.SECONDS, ring, threadFactory(name));
        executor.prestartAllCoreThreads();
    }

    /**
     * Queues a task.
     *
     * @throws RejectedExecutionException if the ring is full or the duty is closed
     */
    @Override
    public void execute(Runnable task) {
        executor.execute(task);
    }

    /** Queues a task and returns false instead of failing when the ring is full or the duty is closed. */
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

    /** Runs the tasks that wait, then ends the thread. */
    @Override
    public void close() {
        stop(executor);
    }

    /** Creates a timer thread for periodic work of a daemon. */
    public static ScheduledExecutorService timer(String name) {
        ScheduledThreadPoolExecutor timer = new ScheduledThreadPoolExecutor(1, threadFactory(name));
        // A cancelled time limit would otherwise hold its request until the limit.
        timer.setRemoveOnCancelPolicy(true);
        return timer;
    }

    /**
     * Runs a task again and again, with a pause after each run.
     *
     * <p>A run that fails unexpectedly is logged, and the next one follows. Without this the executor would drop the
     * task for good, and the daemon would go on without, say, its view of the endpoints.
     *
     * @param firstMs pause before the first run, in milliseconds
     * @param pauseMs pause after each run, in milliseconds
     */
    public static void repeat(ScheduledExecutorService timer, Runnable task, long firstMs, long pauseMs) {
        timer.scheduleWithFixedDelay(guarded(task), firstMs, pauseMs, TimeUnit.MILLISECONDS);
    }

    @SuppressWarnings("PMD.AvoidCatchingGenericException")
    private static Runnable guarded(Runnable task) {
        return () -> {
            try {
                task.run();
            } catch (RuntimeException e) {
                Event.of("periodic-task-failed")
                        .with("thread", Thread.currentThread().getName())
                        .error(LOG, e);
            }
        };
    }

    /** Ends an executor after the tasks that wait, or after two seconds. */
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
