package org.ragwortrun.measure.fleet;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.ragwortrun.core.concurrent.Closer;
import org.ragwortrun.core.id.Digests;
import org.ragwortrun.standins.FreePorts;

/** A fleet of control members, routers, agents and stand-in endpoints as separate processes on loopback. */
public final class Fleet implements AutoCloseable {
    /** Main class of the {@code ragwortrun} program. */
    public static final String PROGRAM = "org.ragwortrun.cli.Main";

    private static final String HOST = "127.0.0.1";
    private static final String STANDIN = "org.ragwortrun.standins.StandinMain";
    private static final long START_TIMEOUT_S = 30;
    private static final List<String> AGENT_JVM = List.of("-Xmx64m", "-XX:+UseSerialGC", "-XX:TieredStopAtLevel=1");
    private static final List<String> STANDIN_JVM = List.of("-Xmx64m", "-XX:+UseSerialGC", "-XX:TieredStopAtLevel=1");
    private static final List<String> CLI_JVM =
            List.of("-Xmx64m", "-XX:+UseSerialGC", "-XX:TieredStopAtLevel=1", "-Xshare:auto");

    private final Closer closer = new Closer();
    private final Path folder;
    private final int shards;
    private final FleetOptions options;
    // Members are added while others read.
    private final Map<String, FleetProcess> processes = Collections.synchronizedMap(new LinkedHashMap<>());
    private final Map<String, Integer> controlPorts = Collections.synchronizedMap(new LinkedHashMap<>());
    private final Map<String, Integer> routerPorts = new LinkedHashMap<>();
    private final Map<String, Integer> readinessPorts = new LinkedHashMap<>();
    private final Map<String, Integer> agentPorts = new LinkedHashMap<>();
    private final Map<String, Integer> endpointPorts = new LinkedHashMap<>();
    private final Map<String, EndpointSpec> endpoints = new LinkedHashMap<>();
    private String members = "";
    private Optional<Program> memberProgram = Optional.empty();

    /** Creates a fleet that keeps its files in a new temporary folder, which is deleted on close. */
    public Fleet(int shards) throws FleetException {
        this(shards, FleetOptions.DEFAULT);
    }

    /** Creates a fleet whose control members and routers run with the given options. */
    public Fleet(int shards, FleetOptions options) throws FleetException {
        this.shards = shards;
        this.options = options;
        try {
            folder = Files.createTempDirectory("ragwortrun-fleet");
        } catch (IOException e) {
            throw new FleetException("cannot create temporary folder", e);
        }
    }

    /** Replaces the program of the members that are added from now on. Its first argument is the settings file. */
    public void setMemberProgram(String main, List<String> arguments) {
        memberProgram = Optional.of(new Program(main, arguments));
    }

    /** Adds control members named {@code c1}, {@code c2} and so on, each in a separate data center. */
    public void addControls(int count) throws FleetException {
        for (int i = 1; i <= count; i++) {
            controlPorts.put("c" + i, freePort());
        }
        members = controlAddresses();
        String bootstrap = "bootstrap = " + String.join(", ", controlPorts.keySet()) + "\n";
        int i = 0;
        for (String name : controlPorts.keySet()) {
            i++;
            addControl(name, "dc" + i, members, bootstrap);
        }
    }

    /**
     * Adds a control member that the settings of no earlier process name. It joins the members that were added before when
     * it is started.
     */
    public void addJoiningControl(String name, String dataCenter) throws FleetException {
        controlPorts.put(name, freePort());
        addControl(name, dataCenter, controlAddresses(), "");
    }

    private String controlAddresses() {
        return controlPorts.entrySet().stream()
                .map(e -> e.getKey() + "=" + HOST + ":" + e.getValue())
                .collect(Collectors.joining(", "));
    }

    private void addControl(String name, String dataCenter, String known, String bootstrap) throws FleetException {
        String settings = settings(name, dataCenter) + "[control]\nmembers = " + known + "\nlisten = " + HOST + ":"
                + controlPort(name) + "\n[storage]\nfolder = " + folder.resolve("data-" + name)
                + "\n[cluster]\nshards = " + shards + "\n" + bootstrap + options.clusterSettings();
        if (memberProgram.isPresent()) {
            addProgram(memberProgram.get(), name, options.controlJvm(), settings);
        } else {
            addDaemon("control", name, options.controlJvm(), settings);
        }
    }

    /** Adds a router. */
    public void addRouter(String name, String dataCenter) throws FleetException {
        addRouter(name, dataCenter, members);
    }

    /** Adds a router that reaches the control members at the given addresses, such as those of fault proxies. */
    public void addRouter(String name, String dataCenter, String controlMembers) throws FleetException {
        routerPorts.put(name, freePort());
        addDaemon(
                "router",
                name,
                options.routerJvm(),
                settings(name, dataCenter)
                        + "[control]\nmembers = " + controlMembers + "\n[cluster]\nshards = " + shards
                        + "\n[http]\naddress = "
                        + HOST + ":" + routerPorts.get(name) + "\n");
    }

    /** Adds a router that forwards requests, started by a main class with its settings file and further arguments. */
    public void addForwardingRouter(String name, String dataCenter, String main, List<String> arguments)
            throws FleetException {
        addForwardingRouter(name, dataCenter, main, arguments, members);
    }

    /** Adds such a router that reaches the control members at the given addresses. */
    public void addForwardingRouter(
            String name, String dataCenter, String main, List<String> arguments, String controlMembers)
            throws FleetException {
        routerPorts.put(name, freePort());
        readinessPorts.put(name, freePort());
        String settings = settings(name, dataCenter)
                + "[control]\nmembers = " + controlMembers + "\n[cluster]\nshards = " + shards + "\n[http]\naddress = "
                + HOST + ":" + routerPorts.get(name) + "\nreadiness = " + HOST + ":"
                + readinessPorts.get(name) + "\n[peers]\naddress = " + HOST + ":" + freePort() + "\n";
        addProgram(new Program(main, arguments), name, options.routerJvm(), settings);
    }

    /** Adds a stand-in endpoint and its agent. */
    public void addEndpoint(EndpointSpec spec) throws FleetException {
        int port = freePort();
        endpoints.put(spec.name(), spec);
        endpointPorts.put(spec.name(), port);
        agentPorts.put(spec.name(), freePort());
        List<String> args = new ArrayList<>(
                List.of("--kind", spec.kind(), "--listen", HOST + ":" + port, "--version", spec.version()));
        args.addAll(spec.standinOptions());
        add(standinName(spec.name()), FleetProcess.javaCommand(STANDIN_JVM, STANDIN, args));
        addDaemon(
                "agent",
                spec.name(),
                AGENT_JVM,
                settings(spec.name(), spec.dataCenter())
                        + "[control]\nmembers = " + members + "\n[cluster]\nshards = " + shards + "\n[agent]\nlisten = "
                        + HOST + ":" + agentPorts.get(spec.name()) + "\n[endpoint]\nname = " + spec.name()
                        + "\nurl = http://" + HOST + ":" + port + "\n");
    }

    /** Returns the name of the stand-in process for an endpoint. */
    public static String standinName(String endpoint) {
        return "standin-" + endpoint;
    }

    /** Deletes the data folder of a stopped control member, as if its disk were lost. */
    public void deleteData(String control) throws FleetException {
        if (process(control).isAlive()) {
            throw new FleetException(control + " is still running");
        }
        delete(folder.resolve("data-" + control));
    }

    public FleetProcess process(String name) throws FleetException {
        FleetProcess p = processes.get(name);
        if (p == null) {
            throw new FleetException("no process " + name);
        }
        return p;
    }

    /** Starts all processes that are not running. */
    public void startAll() throws FleetException {
        for (FleetProcess p : processes.values()) {
            if (!p.isAlive()) {
                p.start();
            }
        }
    }

    /** Returns the base URL of a router. */
    public String url(String router) {
        return "http://" + HOST + ":" + routerPorts.get(router);
    }

    /** Returns the port at which a router accepts callers. */
    public int routerPort(String router) {
        return routerPorts.getOrDefault(router, 0);
    }

    /** Returns the base URL of a stand-in endpoint. */
    public String endpointUrl(String endpoint) {
        return "http://" + HOST + ":" + endpointPorts.get(endpoint);
    }

    public String members() {
        return members;
    }

    /** Returns the port of a control member. */
    public int controlPort(String name) {
        return controlPorts.getOrDefault(name, 0);
    }

    /** Returns a port that no process of the fleet uses. */
    public int freePort() throws FleetException {
        try {
            return FreePorts.next();
        } catch (IOException e) {
            throw new FleetException("cannot find a free port", e);
        }
    }

    public Path folder() {
        return folder;
    }

    /** Waits until a router is ready. */
    public void awaitReady(String router) throws FleetException {
        Caller caller = new Caller("none");
        String base =
                readinessPorts.containsKey(router) ? "http://" + HOST + ":" + readinessPorts.get(router) : url(router);
        await(router + " to be ready", () -> caller.get(base + "/readyz").status() == 200);
    }

    /** Waits until a condition holds, and fails after a timeout. */
    public void await(String what, Condition condition) throws FleetException {
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(START_TIMEOUT_S);
        while (!condition.holds()) {
            if (System.nanoTime() > end) {
                throw new FleetException(
                        "timed out after " + START_TIMEOUT_S + " s waiting for " + what + "\n" + logTails());
            }
            sleep(20);
        }
    }

    /** Runs a command of the {@code ragwortrun} program and returns its exit code and output. */
    public CommandResult command(String... args) throws FleetException {
        List<String> all = new ArrayList<>(List.of(args));
        all.add("--control");
        all.add(members);
        try {
            Path out = Files.createTempFile(folder, "command", ".out");
            Process p = new ProcessBuilder(FleetProcess.javaCommand(CLI_JVM, PROGRAM, all))
                    .redirectOutput(out.toFile())
                    .redirectError(ProcessBuilder.Redirect.appendTo(
                            folder.resolve("command.err").toFile()))
                    .start();
            if (!p.waitFor(START_TIMEOUT_S, TimeUnit.SECONDS)) {
                p.destroyForcibly();
                throw new FleetException("command " + all + " did not end within " + START_TIMEOUT_S + " s");
            }
            return new CommandResult(p.exitValue(), Files.readString(out));
        } catch (IOException e) {
            throw new FleetException("command " + all + " failed", e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new FleetException("interrupted", e);
        }
    }

    /** Writes a configuration with the given text and all endpoints, and returns its folder. */
    public Path writeFiles(String text) throws FleetException {
        StringBuilder all = new StringBuilder(text).append('\n');
        endpoints
                .values()
                .forEach(e -> all.append("[endpoint ")
                        .append(e.name())
                        .append("]\nservice = ")
                        .append(e.service())
                        .append("\nversion = ")
                        .append(e.version())
                        .append("\nagent = " + HOST + ":")
                        .append(agentPorts.get(e.name()))
                        .append("\nurl = ")
                        .append(endpointUrl(e.name()))
                        .append("\ndata-center = ")
                        .append(e.dataCenter())
                        .append("\nslots = 32\n")
                        .append("engine".equals(e.kind()) ? "kv-capacity = 200000\n\n" : "\n"));
        try {
            Path files = Files.createDirectories(folder.resolve("files"));
            Files.writeString(files.resolve("fleet.ini"), all);
            return files;
        } catch (IOException e) {
            throw new FleetException("cannot write configuration files", e);
        }
    }

    /** Returns the configuration section of an account, with the digest of its key. */
    public static String account(String name, String key) {
        return "[account " + name + "]\nkeys = " + Digests.apiKey(key) + "\n\n";
    }

    /** Stops every process gracefully, routers and agents before control, and returns the failures. */
    public List<String> stopAll() throws FleetException {
        List<String> failed = new ArrayList<>();
        List<List<String>> groups = List.of(
                List.copyOf(routerPorts.keySet()),
                List.copyOf(agentPorts.keySet()),
                List.copyOf(controlPorts.keySet()),
                endpointPorts.keySet().stream().map(Fleet::standinName).toList());
        for (List<String> group : groups) {
            List<FleetProcess> alive = new ArrayList<>();
            for (String name : group) {
                if (process(name).isAlive()) {
                    process(name).signalStop();
                    alive.add(process(name));
                }
            }
            for (FleetProcess p : alive) {
                int exit = p.await();
                // A JVM exits with 143 when it ends on SIGTERM after its shutdown hooks.
                if (exit != 0 && exit != 143) {
                    failed.add(p.name() + " exited with " + exit);
                }
            }
        }
        return failed;
    }

    /** Returns the last lines of all logs, for error messages. */
    public String logTails() {
        return processes.values().stream()
                .map(p -> "--- " + p.name() + "\n" + p.logTail())
                .collect(Collectors.joining("\n"));
    }

    @Override
    public void close() {
        closer.close();
        if (Boolean.getBoolean("ragwortrun.keep")) {
            return;
        }
        try {
            delete(folder);
        } catch (FleetException e) {
            throw new IllegalStateException("cannot delete " + folder, e);
        }
    }

    private static void delete(Path tree) throws FleetException {
        try (Stream<Path> files = Files.walk(tree)) {
            for (Path file : files.sorted(Comparator.reverseOrder()).toList()) {
                Files.delete(file);
            }
        } catch (IOException e) {
            throw new FleetException("cannot delete " + tree, e);
        }
    }

    /** Waits for a second, during which the processes run without load. */
    public static void idleOneSecond() throws FleetException {
        sleep(TimeUnit.SECONDS.toMillis(1));
    }

    static void sleep(long ms) throws FleetException {
        try {
            TimeUnit.MILLISECONDS.sleep(ms);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new FleetException("interrupted", e);
        }
    }

    private static String settings(String name, String dataCenter) {
        return "[daemon]\nname = " + name + "\ndata-center = " + dataCenter + "\nmetrics-port = 0\n";
    }

    private void addProgram(Program program, String name, List<String> jvm, String settings) throws FleetException {
        List<String> all = new ArrayList<>(List.of(writeSettings(name, settings).toString()));
        all.addAll(program.arguments());
        add(name, FleetProcess.javaCommand(jvm, program.main(), all));
    }

    private void addDaemon(String role, String name, List<String> jvm, String settings) throws FleetException {
        Path file = writeSettings(name, settings);
        add(name, FleetProcess.javaCommand(jvm, PROGRAM, List.of(role, "--settings", file.toString())));
    }

    private Path writeSettings(String name, String settings) throws FleetException {
        try {
            return Files.writeString(folder.resolve(name + ".ini"), settings);
        } catch (IOException e) {
            throw new FleetException("cannot write settings of " + name, e);
        }
    }

    private void add(String name, List<String> command) {
        processes.put(name, closer.register(new FleetProcess(name, command, folder.resolve(name + ".log"))));
    }

    /** A main class and its arguments after the settings file. */
    private record Program(String main, List<String> arguments) {}

    /** A condition to wait for. */
    @FunctionalInterface
    public interface Condition {
        boolean holds() throws FleetException;
    }
}
