import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.PrintWriter;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * A small deployment on loopback addresses: machines that run the roles of the deploy file, the platform's list, model
 * servers, an operator, and a record of what was sent, answered and run.
 *
 * <p>Each machine has an address of its own in 127.0.0.0/8. The processes are started with the commands and the settings
 * templates of the deploy file.
 */
final class Fleet implements AutoCloseable {
    final Path root = Path.of("").toAbsolutePath();
    final Path work;
    final Random random;
    final long startNanos = System.nanoTime();
    final int frontendPort;
    final int readinessPort;
    final int controlPort;
    final int internalPort;
    final String net;
    final List<Machine> machines = new ArrayList<>();
    final List<Server> servers = new CopyOnWriteArrayList<>();
    final Map<String, String> bounds = new LinkedHashMap<>();
    volatile boolean listDown;
    /** Entries of another writer, as they stand in the list, in front of those of the servers. */
    volatile byte[] foreignEntries = {};
    private final PrintWriter record;
    private final ServerSocket list;
    private final Map<String, String> roles = new LinkedHashMap<>();
    private final Map<String, String> templates = new LinkedHashMap<>();

    /** One machine with its processes by role. */
    final class Machine {
        final String name;
        final String zone;
        final String ip;
        final boolean disk;
        boolean first = true;
        final Map<String, Process> processes = new ConcurrentHashMap<>();

        Machine(String name, String zone, String ip, boolean disk) {
            this.name = name;
            this.zone = zone;
            this.ip = ip;
            this.disk = disk;
        }

        void start(String role) throws IOException {
            Path settings = work.resolve(name + "-" + role + ".ini");
            Files.writeString(settings, render(this, role));
            List<String> command = new ArrayList<>(List.of(roles.get(role).split(" ")));
            ProcessBuilder b = new ProcessBuilder(command)
                    .directory(root.toFile())
                    .redirectErrorStream(true)
                    .redirectOutput(ProcessBuilder.Redirect.appendTo(
                            work.resolve(name + "-" + role + ".log").toFile()));
            b.environment().put("RAGWORTRUN_BOOT", settings.toString());
            processes.put(role, b.start());
            log("start " + name + " " + role);
        }

        void signal(String role, String signal) throws IOException, InterruptedException {
            Process p = processes.get(role);
            log("signal " + signal + " " + name + " " + role);
            new ProcessBuilder("kill", "-" + signal, Long.toString(p.pid())).start().waitFor();
        }

        boolean alive(String role) {
            Process p = processes.get(role);
            return p != null && p.isAlive();
        }
    }

    Fleet(Path recordFile, long seed) throws IOException {
        random = new Random(seed);
        work = Files.createTempDirectory("ragwortrun-review");
        record = new PrintWriter(Files.newBufferedWriter(recordFile), true);
        Random any = new Random();
        net = "127." + (20 + any.nextInt(200)) + "." + (1 + any.nextInt(250)) + ".";
        int base = 20_000 + any.nextInt(9_000);
        frontendPort = base;
        readinessPort = base + 1;
        controlPort = base + 2;
        internalPort = base + 3;
        list = Net.listen(net + "250", 0);
        bounds.put("config_ms", "2000");
        bounds.put("budget_slack", "58");
        readDeployFile();
        daemon(this::serveList, list);
        // Ends the processes too if this one is told to end.
        Runtime.getRuntime()
                .addShutdownHook(new Thread(
                        () -> machines.forEach(m -> m.processes.values().forEach(Process::destroyForcibly))));
    }

    void log(String line) {
        record.printf("%8.3f %s%n", (System.nanoTime() - startNanos) / 1e9, line);
    }

    double now() {
        return (System.nanoTime() - startNanos) / 1e9;
    }

    void sleepUntil(double second) throws InterruptedException {
        long left = (long) ((second - now()) * 1000);
        if (left > 0) {
            Thread.sleep(left);
        }
    }

    private void readDeployFile() throws IOException {
        String text = Files.readString(root.resolve("deploy/system.toml"));
        Matcher m = Pattern.compile("\\[roles\\.([a-z-]+)]\\s*run = \"([^\"]+)\"(.*?)(?=\\[roles|\\z)", Pattern.DOTALL)
                .matcher(text);
        while (m.find()) {
            roles.put(m.group(1), m.group(2));
            Matcher t = Pattern.compile("template = \"([^\"]+)\"").matcher(m.group(3));
            if (t.find()) {
                templates.put(m.group(1), Files.readString(root.resolve(t.group(1))));
            }
        }
    }

    Machine machine(String name, String zone, boolean disk) {
        Machine m = new Machine(name, zone, net + (10 + machines.size()), disk);
        machines.add(m);
        return m;
    }

    private String seeds() {
        StringBuilder s = new StringBuilder();
        machines.stream().filter(m -> m.disk).limit(3).forEach(m -> s.append(s.length() == 0 ? "" : ",")
                .append(m.ip)
                .append(':')
                .append(controlPort));
        return s.toString();
    }

    private String render(Machine m, String role) throws IOException {
        Path data = work.resolve("data-" + m.name);
        Map<String, String> f = new LinkedHashMap<>();
        f.put("node_name", m.name);
        f.put("zone", m.zone);
        f.put("ip", m.ip);
        f.put("seeds", seeds());
        f.put("internal_ports", internalPort + "," + (internalPort + 15));
        f.put("internal_ports.1", Integer.toString(internalPort + 15));
        f.put("cloud.address", net + "250:" + list.getLocalPort());
        f.put("zones", "{\"zone-a\":\"region-a\",\"zone-b\":\"region-a\",\"zone-c\":\"region-a\"}");
        f.put("listen.frontend", m.ip + ":" + frontendPort);
        f.put("listen.readiness", m.ip + ":" + readinessPort);
        f.put("listen.control_plane", m.ip + ":" + controlPort);
        f.put("limits.link_mbps", "1000.0");
        f.put("data_dir", m.disk ? data.toString() : "");
        f.put("bootstrap", Boolean.toString(m.first));
        bounds.forEach((k, v) -> f.put("bounds." + k, v));
        String text = templates.get(role);
        for (Map.Entry<String, String> e : f.entrySet()) {
            text = text.replace("{{" + e.getKey() + "}}", e.getValue());
        }
        return text;
    }

    // ---- the platform's list ----

    private void serveList(Socket s) throws IOException {
        while (true) {
            Net.Message request = Net.readHead(s.getInputStream());
            if (request == null) {
                return;
            }
            ByteArrayOutputStream b = new ByteArrayOutputStream();
            b.write("{\"instances\":[".getBytes(StandardCharsets.UTF_8));
            b.write(foreignEntries);
            boolean first = foreignEntries.length == 0;
            for (Server v : servers) {
                if (v.listed) {
                    b.write(((first ? "" : ",") + v.entry()).getBytes(StandardCharsets.UTF_8));
                    first = false;
                }
            }
            b.write("],\"next\":null}".getBytes(StandardCharsets.UTF_8));
            byte[] body = b.toByteArray();
            int status = listDown ? 503 : 200;
            Net.write(
                    s.getOutputStream(),
                    "HTTP/1.1 " + status + " x\r\nContent-Type: application/json\r\nContent-Length: " + body.length
                            + "\r\n\r\n",
                    body);
        }
    }

    interface Handler {
        void handle(Socket s) throws Exception;
    }

    /** Accepts connections and handles each on a thread of its own. */
    static void daemon(Handler handler, ServerSocket at) {
        Thread t = new Thread(() -> {
            while (!at.isClosed()) {
                try {
                    Socket s = at.accept();
                    Thread c = new Thread(() -> {
                        try (s) {
                            s.setTcpNoDelay(true);
                            handler.handle(s);
                        } catch (Exception e) {
                            // the other side has gone
                        }
                    });
                    c.setDaemon(true);
                    c.start();
                } catch (IOException e) {
                    return;
                }
            }
        });
        t.setDaemon(true);
        t.start();
    }

    // ---- servers ----

    interface Work {
        /** Runs a request; returns false if the connection must not be used again. */
        boolean run(Server server, Socket s, Net.Message request) throws Exception;
    }

    /** One server of a service. Serves one request at a time on a connection. */
    final class Server {
        final String id;
        final String service;
        final String version;
        final String zone;
        final int slots;
        final ServerSocket at;
        final Work work;
        final List<Socket> open = new CopyOnWriteArrayList<>();
        volatile boolean listed = true;
        volatile boolean draining;
        final long born = System.currentTimeMillis();

        Server(String id, String service, String version, String zone, int slots, Work work) throws IOException {
            this.id = id;
            this.service = service;
            this.version = version;
            this.zone = zone;
            this.slots = slots;
            this.work = work;
            at = Net.listen(net + (100 + random.nextInt(100)), 0);
            daemon(this::serve, at);
            servers.add(this);
            log("server " + id + " " + service + " " + version + " at " + address());
        }

        String address() {
            return at.getInetAddress().getHostAddress() + ":" + at.getLocalPort();
        }

        String entry() {
            return "{\"id\":\"" + id + "\",\"service\":\"" + service + "\",\"address\":\"" + address() + "\",\"zone\":\""
                    + zone + "\",\"version\":\"" + version + "\",\"slots\":" + slots + ",\"state\":\""
                    + (draining ? "draining" : "ready") + "\",\"cold_remaining_ms\":0,\"born\":" + born + "}";
        }

        private void serve(Socket s) throws Exception {
            open.add(s);
            try {
                InputStream in = s.getInputStream();
                while (true) {
                    Net.Message request = Net.readHead(in);
                    if (request == null) {
                        return;
                    }
                    Net.readBody(in, request, false);
                    String expected = request.header("X-Expect-Instance");
                    if (!expected.isEmpty() && !expected.equals(id)) {
                        answer(s.getOutputStream(), request, 421, "", "X-Not-Executed: 1\r\n");
                    } else if (!work.run(this, s, request)) {
                        return;
                    }
                }
            } finally {
                open.remove(s);
            }
        }

        void answer(OutputStream out, Net.Message request, int status, String body, String more) throws IOException {
            byte[] b = body.getBytes(StandardCharsets.UTF_8);
            Net.write(
                    out,
                    "HTTP/1.1 " + status + " x\r\nX-Request-Id: " + request.header("X-Request-Id")
                            + "\r\nX-Server-Signature: " + signature(request) + "\r\n" + more + "Content-Length: "
                            + b.length + "\r\n\r\n",
                    b);
        }

        String signature(Net.Message request) {
            return id + "." + request.header("X-Request-Id");
        }

        /** Ends the server at once: its connections break and its address refuses new ones. */
        void stop() throws IOException {
            listed = false;
            at.close();
            for (Socket s : open) {
                s.close();
            }
            log("server stopped " + id);
        }
    }

    // ---- the operator ----

    /** Sends an order to one machine after the other until it gets a clear answer or the time is up. */
    Net.Message operate(String method, String path, String body, double seconds) throws InterruptedException {
        double end = now() + seconds;
        int at = random.nextInt(3);
        while (now() < end) {
            List<Machine> control =
                    machines.stream().filter(m -> m.processes.containsKey("control")).toList();
            Machine m = control.get(Math.floorMod(at++, control.size()));
            try {
                Net.Message answer = Net.call(
                        m.ip, controlPort, method, path, body.getBytes(StandardCharsets.UTF_8), 1_000);
                if (answer.status() < 500 && answer.status() != 408 && answer.status() != 429) {
                    log("operator " + method + " " + path + " at " + m.name + " -> " + answer.status()
                            + (method.equals("GET") ? " " + answer.text().substring(0, Math.min(120, answer.body.length)) : ""));
                    return answer;
                }
            } catch (IOException e) {
                // the next one
            }
            Thread.sleep(150);
        }
        log("operator " + method + " " + path + " -> no clear answer");
        return null;
    }

    boolean ready(Machine m) {
        try {
            return Net.call(m.ip, readinessPort, "GET", "/api/readyz", new byte[0], 1_000).status() == 200;
        } catch (IOException e) {
            return false;
        }
    }

    boolean awaitReady(double seconds) throws InterruptedException {
        double end = now() + seconds;
        while (now() < end) {
            if (machines.stream().filter(m -> m.processes.containsKey("router")).allMatch(this::ready)) {
                log("all routers are ready");
                return true;
            }
            Thread.sleep(200);
        }
        return false;
    }

    @Override
    public void close() throws IOException {
        for (Machine m : machines) {
            for (Process p : m.processes.values()) {
                p.destroyForcibly();
            }
        }
        for (Machine m : machines) {
            for (Process p : m.processes.values()) {
                try {
                    p.waitFor(5, TimeUnit.SECONDS);
                } catch (InterruptedException e) {
                    Thread.currentThread().interrupt();
                }
            }
        }
        for (Server s : servers) {
            s.at.close();
        }
        list.close();
        record.close();
        if (System.getenv("KEEP_LOGS") != null) {
            System.out.println("logs: " + work);
            return;
        }
        try (var files = Files.walk(work)) {
            files.sorted((a, b) -> b.compareTo(a)).forEach(p -> p.toFile().delete());
        }
    }
}
