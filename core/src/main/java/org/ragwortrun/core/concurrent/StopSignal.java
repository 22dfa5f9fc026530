package org.ragwortrun.core.concurrent;

import java.util.concurrent.CountDownLatch;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.ragwortrun.core.log.Event;
import sun.misc.Signal;

/** Runs a daemon until its process is told to stop. */
public final class StopSignal {
    private static final Logger LOG = LogManager.getLogger(StopSignal.class);

    private StopSignal() {}

    /** Waits for SIGTERM, closes the daemon and exits with the given code. */
    public static void runUntilStopped(AutoCloseable daemon, int exitCode) {
        CountDownLatch stopped = new CountDownLatch(1);
        // The JVM exits on SIGHUP unless a handler is installed.
        Signal.handle(new Signal("HUP"), s -> Event.of("reload-signal").info(LOG));
        Runtime.getRuntime().addShutdownHook(new Thread(() -> stop(daemon, stopped, exitCode), "stop"));
        try {
            stopped.await();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private static void stop(AutoCloseable daemon, CountDownLatch stopped, int exitCode) {
        Closer closer = new Closer();
        closer.register(daemon);
        closer.close();
        stopped.countDown();
        LogManager.shutdown();
        // A stop by SIGTERM is not a failure, but without this call the process would exit with code 143.
        Runtime.getRuntime().halt(exitCode);
    }
}
