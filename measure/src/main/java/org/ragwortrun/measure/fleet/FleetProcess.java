package org.ragwortrun.measure.fleet;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;

/** A process of the fleet that can be started, signalled and restarted. It is killed when this object is closed. */
public final class FleetProcess implements AutoCloseable {
    private static final long STOP_TIMEOUT_S = 15;

    private final String name;
    private final List<String> command;
    private final Path log;
    private @Nullable Process process;

    FleetProcess(String name, List<String> command, Path log) {
        this.name = name;
        this.command = List.copyOf(command);
        this.log = log;
    }

    /** Builds the command that runs a main class from the class path of this process. */
    static List<String> javaCommand(List<String> options, String main, List<String> args) {
        List<String> command = new ArrayList<>();
        command.add(Path.of(System.getProperty("java.home"), "bin", "java").toString());
        command.addAll(options);
        command.add("-cp");
        command.add(System.getProperty("java.class.path"));
        command.add(main);
        command.addAll(args);
        return command;
    }

    public String name() {
        return name;
    }

    public Path log() {
        return log;
    }

    /** Starts the process. Its output is appended to its log file. */
    public synchronized void start() throws FleetException {
        if (process != null && process.isAlive()) {
            throw new FleetException(name + " is already running");
        }
        try {
            process = new ProcessBuilder(command)
                    .redirectErrorStream(true)
                    .redirectOutput(ProcessBuilder.Redirect.appendTo(log.toFile()))
                    .start();
        } catch (IOException e) {
            throw new FleetException(name + " failed to start", e);
        }
    }

    public synchronized boolean isAlive() {
        return process != null && process.isAlive();
    }

    /** Returns the operating system's process id. */
    public synchronized long pid() throws FleetException {
        return running().pid();
    }

    /** Kills the process with SIGKILL and waits until it has ended. */
    public synchronized void kill() throws FleetException {
        running().destroyForcibly();
        await();
    }

    /** Stops the process with SIGTERM, waits until it has ended and returns its exit code. */
    public synchronized int stop() throws FleetException {
        Process p = running();
        p.destroy();
        return await();
    }

    /** Sends SIGTERM to the process without waiting for it to end. */
    public synchronized void signalStop() throws FleetException {
        running().destroy();
    }

    /** Waits for the process to end and returns its exit code. */
    public synchronized int await() throws FleetException {
        Process p = running();
        try {
            if (!p.waitFor(STOP_TIMEOUT_S, TimeUnit.SECONDS)) {
                p.destroyForcibly();
                throw new FleetException(name + " did not stop within " + STOP_TIMEOUT_S + " s");
            }
            return p.exitValue();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new FleetException(name + ": interrupted", e);
        }
    }

    /** Suspends or resumes the process, as if its host were suspended. */
    public void setSuspended(boolean suspended) throws FleetException {
        signal(suspended ? "STOP" : "CONT");
    }

    /** Returns the resident memory in KiB. */
    public long residentKib() throws FleetException {
        return statusNumber("VmRSS:");
    }

    /** Returns the number of threads. */
    public long threads() throws FleetException {
        return statusNumber("Threads:");
    }

    /** Returns the processor time used so far in milliseconds. */
    public long cpuMillis() throws FleetException {
        return running()
                .info()
                .totalCpuDuration()
                .orElseThrow(() -> new FleetException(name + ": processor time is not available"))
                .toMillis();
    }

    /** Returns the last lines of the log, for error messages. */
    public String logTail() {
        try {
            List<String> lines = Files.readAllLines(log);
            return String.join("\n", lines.subList(Math.max(0, lines.size() - 20), lines.size()));
        } catch (IOException e) {
            return "cannot read log: " + e.getMessage();
        }
    }

    @Override
    public void close() {
        Process p = process;
        if (p != null && p.isAlive()) {
            p.destroyForcibly();
        }
    }

    private long statusNumber(String key) throws FleetException {
        try {
            return Files.readAllLines(Path.of("/proc", Long.toString(pid()), "status")).stream()
                    .filter(l -> l.startsWith(key))
                    .map(l -> l.substring(key.length()).trim().toLowerCase(Locale.ROOT))
                    .mapToLong(v -> Long.parseLong(v.split("\\s")[0]))
                    .findFirst()
                    .orElseThrow(() -> new FleetException(name + ": process status has no field " + key));
        } catch (IOException e) {
            throw new FleetException(name + ": cannot read process status", e);
        }
    }

    private void signal(String signal) throws FleetException {
        try {
            int exit = new ProcessBuilder("kill", "-" + signal, Long.toString(pid()))
                    .start()
                    .waitFor();
            if (exit != 0) {
                throw new FleetException(name + ": signal " + signal + " failed with " + exit);
            }
        } catch (IOException e) {
            throw new FleetException(name + ": signal " + signal + " failed", e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new FleetException(name + ": interrupted", e);
        }
    }

    private Process running() throws FleetException {
        Process p = process;
        if (p == null) {
            throw new FleetException(name + " was never started");
        }
        return p;
    }
}
