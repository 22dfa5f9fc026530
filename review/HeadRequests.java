import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/** A client sends HEAD and GET requests on kept connections, and a key is taken away. */
final class HeadRequests {
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

    private HeadRequests(Kit kit) {
        this.kit = kit;
    }

    public static void main(String[] args) throws Exception {
        int code;
        try (Kit kit = new Kit(args[0])) {
            code = new HeadRequests(kit).run();
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
        if (!publish(1, "key1", 20)) {
            return 2;
        }
        Kit.sleep(3_000);
        if (pair("GET", "key1") != 0) {
            return 2;
        }
        if (kit.trouble) {
            if (!publish(2, "key2", 20)) {
                return 2;
            }
            kit.log("key1 is taken away");
        }
        Kit.sleep(5_000);
        int wrong = 0;
        for (int i = 0; i < 5; i++) {
            wrong += pair("HEAD", "key1");
        }
        return wrong > 0 ? 1 : 0;
    }

    /** Sends a request and then a GET on the same connection. Returns 1 if the second answer does not belong to it. */
    private int pair(String method, String key) throws IOException {
        try (Socket s = new Socket()) {
            s.connect(new InetSocketAddress(router, callers), 1_000);
            s.setSoTimeout(3_000);
            InputStream in = new BufferedInputStream(s.getInputStream());
            String first = send(s, in, method, key);
            String second = send(s, in, "GET", "key0");
            kit.log(method + ": " + first + "; then GET: " + second);
            return second.startsWith("HTTP/1.1 200 id q" + ids) ? 0 : 1;
        }
    }

    private String send(Socket s, InputStream in, String method, String key) throws IOException {
        ids++;
        s.getOutputStream().write((method + " /a/x HTTP/1.1\r\nHost: a.example\r\nX-Request-Id: q" + ids
                + "\r\nX-Deadline-Ms: 1500\r\nX-Credential: " + key + "\r\n\r\n").getBytes(StandardCharsets.US_ASCII));
        try {
            String first = line(in);
            int length = 0;
            boolean chunked = false;
            String id = "none";
            for (String l = line(in); !l.isEmpty(); l = line(in)) {
                String lower = l.toLowerCase(java.util.Locale.ROOT);
                if (lower.startsWith("content-length:")) {
                    length = Integer.parseInt(l.substring(15).trim());
                } else if (lower.startsWith("transfer-encoding:")) {
                    chunked = true;
                } else if (lower.startsWith("x-request-id:")) {
                    id = l.substring(13).trim();
                }
            }
            if (!method.equals("HEAD") && length > 0) {
                in.readNBytes(length);
            }
            return (first.length() > 12 ? first.substring(0, 12) : first) + " id " + id + (chunked ? " chunked" : "");
        } catch (SocketTimeoutException e) {
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

    private boolean publish(int version, String key, double seconds) {
        String body = "{\"version\":" + version + ",\"routes\":[{\"name\":\"r-a\",\"host\":\"a.example\",\"path_prefix\":\"/a/\","
                + "\"type\":\"idempotent\",\"timeout_ms\":1500,\"latency_goal_ms\":300,\"priority\":1,\"service\":\"s\","
                + "\"max_attempts\":2,\"public\":false,\"sticky\":false}],\"services\":[{\"name\":\"s\",\"health_path\":\"/healthz\","
                + "\"max_connections\":110,\"protocol\":\"h1\",\"tls\":false}],\"limits\":{\"max_header_bytes\":16384,"
                + "\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000},\"tenants\":["
                + "{\"name\":\"t0\",\"api_keys\":[\"key0\",\"" + key + "\"],\"priority\":1}]}";
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
