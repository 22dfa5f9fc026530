import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** A version of the configuration raises max_header_bytes, and a client sends headers between the old and the new value. */
final class LargeHeaders {
    private final Kit kit;
    private final List<String> hosts = new ArrayList<>();
    private int operators;
    private int peers;
    private int list;
    private int callers;
    private int readiness;
    private int ids;
    private String platform = "";
    private String router = "";

    private LargeHeaders(Kit kit) {
        this.kit = kit;
    }

    public static void main(String[] args) throws Exception {
        int code;
        try (Kit kit = new Kit(args[0])) {
            code = new LargeHeaders(kit).run();
            kit.log("exit " + code);
        }
        System.exit(code);
    }

    private int run() throws Exception {
        for (int i = 1; i <= 3; i++) {
            hosts.add(kit.net + i);
        }
        platform = kit.net + 9;
        router = kit.net + 10;
        operators = Kit.freePort(hosts);
        peers = Kit.freePort(hosts);
        list = Kit.freePort(List.of(platform));
        callers = Kit.freePort(List.of(router));
        readiness = Kit.freePort(List.of(router));
        String server = kit.net + 21;
        int port = Kit.freePort(List.of(server));
        new Servers("i-1", server, port);
        kit.platform(platform, list, () -> "{\"service\":\"s\",\"address\":\"" + server + ':' + port
                + "\",\"zone\":\"zone-1\",\"version\":\"v1\",\"slots\":64,\"state\":\"ready\",\"cold_remaining_ms\":0,\"id\":\"i-1\"}");
        String seeds = String.join(",", hosts.stream().map(h -> h + ':' + operators).toList());
        for (String h : hosts) {
            Path data = kit.temp.resolve("data-" + h);
            Files.createDirectories(data);
            kit.start("control", "control-" + h, kit.settings("control.ini", "control-" + h, Map.of(
                    "ip", h, "zone", "zone-" + h, "seeds", seeds, "internal_ports", peers + "," + (peers + 15),
                    "cloud.address", platform + ':' + list, "listen.control_plane", h + ':' + operators,
                    "bootstrap", "true", "data_dir", data.toString())));
        }
        kit.start("router", "router", kit.settings("router.ini", "router", Map.of(
                "node_name", "edge-1", "zone", "zone-1", "ip", router, "seeds", seeds,
                "internal_ports", peers + "," + (peers + 15), "internal_ports.1", Integer.toString(peers + 15),
                "cloud.address", platform + ':' + list, "listen.frontend", router + ':' + callers,
                "listen.readiness", router + ':' + readiness, "bounds.budget_slack", "58")));
        if (!publish(1, 16_384, 20)) {
            return 2;
        }
        Kit.sleep(3_000);
        Map<String, Integer> before = send(40, 10_000);
        kit.log("version 1, max_header_bytes 16384: 40 requests with 10,000 bytes of headers: " + before);
        if (before.getOrDefault("200", 0) < 40) {
            return 2;
        }
        if (kit.trouble && !publish(2, 65_536, 20)) {
            return 2;
        }
        Kit.sleep(8_000);
        int size = kit.trouble ? 24_000 : 10_000;
        Map<String, Integer> after = send(40, size);
        kit.log((kit.trouble ? "version 2, max_header_bytes 65536" : "version 1") + ", 8 s later: 40 requests with " + size
                + " bytes of headers: " + after);
        int denied = 0;
        for (Map.Entry<String, Integer> e : after.entrySet()) {
            boolean own = e.getKey().matches("[34]..") && !List.of("408", "421", "429").contains(e.getKey());
            denied += own ? e.getValue() : 0;
        }
        return denied > 5 + 40 / 500.0 ? 1 : 0;
    }

    private Map<String, Integer> send(int count, int headerBytes) {
        Map<String, Integer> answers = new TreeMap<>();
        for (int i = 0; i < count; i++) {
            answers.merge(send(headerBytes), 1, Integer::sum);
            Kit.sleep(50);
        }
        return answers;
    }

    /** Sends a request whose prompt has as many parts as fill the headers. */
    private String send(int headerBytes) {
        ids++;
        StringBuilder parts = new StringBuilder("5c1e07a2:800");
        while (parts.length() < headerBytes) {
            parts.append(',').append(Integer.toHexString(0x10000000 + parts.length())).append(":10");
        }
        try (Socket s = new Socket()) {
            s.connect(new InetSocketAddress(router, callers), 1_000);
            s.setSoTimeout(3_000);
            s.getOutputStream().write(("GET /a/x HTTP/1.1\r\nHost: a.example\r\nX-Request-Id: q" + ids
                    + "\r\nX-Deadline-Ms: 1500\r\nX-Prefix-Hash: " + parts + "\r\n\r\n").getBytes(StandardCharsets.US_ASCII));
            String first = line(new BufferedInputStream(s.getInputStream()));
            return first.length() > 12 ? first.substring(9, 12) : "no answer";
        } catch (IOException e) {
            return "no answer";
        }
    }

    private static String line(InputStream in) throws IOException {
        StringBuilder b = new StringBuilder();
        for (int c = in.read(); c != '\n'; c = in.read()) {
            if (c < 0) {
                return b.toString();
            }
            if (c != '\r') {
                b.append((char) c);
            }
        }
        return b.toString();
    }

    private boolean publish(int version, int headerBytes, double seconds) {
        String body = "{\"version\":" + version + ",\"routes\":[{\"name\":\"r-a\",\"host\":\"a.example\",\"path_prefix\":\"/a/\","
                + "\"type\":\"idempotent\",\"timeout_ms\":1500,\"latency_goal_ms\":300,\"priority\":1,\"service\":\"s\","
                + "\"max_attempts\":2,\"public\":true,\"sticky\":false}],\"services\":[{\"name\":\"s\",\"health_path\":\"/healthz\","
                + "\"max_connections\":110,\"protocol\":\"h1\",\"tls\":false}],\"limits\":{\"max_header_bytes\":" + headerBytes
                + ",\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}";
        double end = kit.now() + seconds;
        while (kit.now() < end) {
            for (String h : hosts) {
                if (Kit.call("POST", "http://" + h + ':' + operators + "/api/config/replace", body, 1_000).status() == 200) {
                    kit.log("version " + version + " acknowledged by " + h);
                    return true;
                }
            }
            Kit.sleep(100);
        }
        return false;
    }
}
