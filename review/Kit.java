import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.PrintStream;
import java.net.HttpURLConnection;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;

/** Starts the project's roles with the commands of the deploy file, on loopback addresses, and records what happens. */
final class Kit implements AutoCloseable {
    final Path root;
    final Path folder;
    final Path temp;
    final String net;
    final boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    private final PrintStream record;
    private final long begin = System.nanoTime();
    private final List<Process> started = Collections.synchronizedList(new ArrayList<>());
    private final List<HttpServer> servers = new ArrayList<>();
    private int starts;

    /** Answer of an HTTP call; status 0 if there was none. */
    record Reply(int status, String body) {}

    Kit(String caseFolder) throws IOException {
        root = Path.of("").toAbsolutePath();
        folder = root.resolve(caseFolder);
        temp = Files.createTempDirectory(Path.of(System.getProperty("review.temp", System.getProperty("java.io.tmpdir"))), "review");
        record = new PrintStream(Files.newOutputStream(folder.resolve("record.txt")), true, StandardCharsets.UTF_8);
        Random random = new Random();
        net = "127." + (20 + random.nextInt(200)) + "." + (1 + random.nextInt(250)) + ".";
        Runtime.getRuntime().addShutdownHook(new Thread(this::killAll));
    }

    double now() {
        return (System.nanoTime() - begin) / 1e9;
    }

    synchronized void log(String text) {
        String line = String.format("%8.3f %s", now(), text);
        record.println(line);
        System.out.println(line);
    }

    static void sleep(long ms) {
        try {
            Thread.sleep(ms);
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }

    /** Returns a port that is free at all given hosts. */
    static int freePort(List<String> hosts) throws IOException {
        Random random = new Random();
        for (int i = 0; i < 200; i++) {
            int port = 20_000 + random.nextInt(12_000);
            boolean free = true;
            for (String h : hosts) {
                try (ServerSocket s = new ServerSocket()) {
                    s.setReuseAddress(true);
                    s.bind(new InetSocketAddress(h, port));
                } catch (IOException e) {
                    free = false;
                }
            }
            if (free) {
                return port;
            }
        }
        throw new IOException("no free port");
    }

    /** Fills a settings template of the deploy folder and returns the file. */
    Path settings(String template, String name, Map<String, String> values) throws IOException {
        String text = Files.readString(root.resolve("deploy").resolve(template));
        Matcher m = Pattern.compile("\\{\\{([^}]+)}}").matcher(text);
        StringBuilder out = new StringBuilder();
        while (m.find()) {
            m.appendReplacement(out, Matcher.quoteReplacement(values.getOrDefault(m.group(1), "")));
        }
        m.appendTail(out);
        Path file = temp.resolve(name + ".ini");
        Files.writeString(file, out.toString());
        return file;
    }

    /** Starts a role as the deploy file says. */
    Process start(String role, String name, Path settings) throws IOException {
        String deploy = Files.readString(root.resolve("deploy/system.toml"));
        Matcher m = Pattern.compile("\\[roles\\." + role + "]\\s*run = \"([^\"]*)\"").matcher(deploy);
        if (!m.find()) {
            throw new IOException("the deploy file has no role " + role);
        }
        ProcessBuilder b = new ProcessBuilder(m.group(1).split(" "));
        b.directory(root.toFile());
        Map<String, String> env = b.environment();
        Map<String, String> kept = new HashMap<>();
        for (String k : List.of("PATH", "HOME", "JAVA_HOME", "LANG")) {
            if (env.containsKey(k)) {
                kept.put(k, env.get(k));
            }
        }
        env.clear();
        env.putAll(kept);
        env.put("RAGWORTRUN_BOOT", settings.toString());
        starts++;
        b.redirectErrorStream(true);
        b.redirectOutput(temp.resolve(name + "." + starts + ".log").toFile());
        Process p = b.start();
        started.add(p);
        return p;
    }

    static void kill(Process p) {
        p.destroyForcibly();
        try {
            p.waitFor(10, TimeUnit.SECONDS);
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }

    static Reply call(String method, String url, String body, int timeoutMs) {
        try {
            HttpURLConnection c = (HttpURLConnection) URI.create(url).toURL().openConnection();
            c.setConnectTimeout(timeoutMs);
            c.setReadTimeout(timeoutMs);
            c.setRequestMethod(method);
            if (body != null) {
                c.setDoOutput(true);
                c.setRequestProperty("Content-Type", "application/json");
                try (OutputStream out = c.getOutputStream()) {
                    out.write(body.getBytes(StandardCharsets.UTF_8));
                }
            }
            int status = c.getResponseCode();
            InputStream in = status < 400 ? c.getInputStream() : c.getErrorStream();
            return new Reply(status, in == null ? "" : new String(in.readAllBytes(), StandardCharsets.UTF_8));
        } catch (IOException e) {
            return new Reply(0, String.valueOf(e.getMessage()));
        }
    }

    /** The platform's list of instances. */
    void platform(String host, int port, Supplier<String> instances) throws IOException {
        HttpServer s = HttpServer.create(new InetSocketAddress(host, port), 64);
        s.setExecutor(Executors.newFixedThreadPool(4, r -> {
            Thread t = new Thread(r);
            t.setDaemon(true);
            return t;
        }));
        s.createContext("/instances", x -> {
            byte[] text = ("{\"instances\":[" + instances.get() + "],\"next\":null}").getBytes(StandardCharsets.UTF_8);
            x.getResponseHeaders().set("Content-Type", "application/json");
            x.sendResponseHeaders(200, text.length);
            x.getResponseBody().write(text);
            x.close();
        });
        s.start();
        servers.add(s);
    }

    static void delete(Path folder) throws IOException {
        if (!Files.exists(folder)) {
            return;
        }
        try (Stream<Path> all = Files.walk(folder)) {
            for (Path p : all.sorted(Comparator.reverseOrder()).toList()) {
                Files.deleteIfExists(p);
            }
        }
    }

    private void killAll() {
        synchronized (started) {
            started.forEach(Process::destroyForcibly);
        }
    }

    @Override
    public void close() throws IOException {
        killAll();
        servers.forEach(s -> s.stop(0));
        if (System.getenv("KEEP") == null) {
            sleep(200);
            try {
                delete(temp);
            } catch (IOException e) {
                // left for the temporary folder's own cleaning
            }
        }
        record.close();
    }
}
