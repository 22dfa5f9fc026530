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
import java.util.concurrent.atomic.AtomicInteger;

/** The routers of one region lose the control members for a little more than a minute, and then reach them again. */
final class LongCut {
    private static final int ROUTERS = 2;
    private static final int TENANTS = 4;
    private static final double CUT_S = 68;
    private static final double RECOVER_S = 12;

    private final Kit kit;
    private final List<String> hosts = new ArrayList<>();
    private final List<String> routers = new ArrayList<>();
    private final AtomicInteger ids = new AtomicInteger();
    private int operators;
    private int peers;
    private int list;
    private int callers;
    private int readiness;
    private String platform = "";

    private LongCut(Kit kit) {
        this.kit = kit;
    }

    public static void main(String[] args) throws Exception {
        int code;
        try (Kit kit = new Kit(args[0])) {
            code = new LongCut(kit).run();
            kit.log("exit " + code);
        }
        System.exit(code);
    }

    private int run() throws Exception {
        for (int i = 1; i <= 3; i++) {
            hosts.add(kit.net + i);
        }
        for (int i = 0; i < ROUTERS; i++) {
            routers.add(kit.net + (10 + i));
        }
        platform = kit.net + 9;
        operators = Kit.freePort(hosts);
        peers = Kit.freePort(hosts);
        int proxied = Kit.freePort(hosts);
        list = Kit.freePort(List.of(platform));
        callers = Kit.freePort(routers);
        readiness = Kit.freePort(routers);
        int own = Kit.freePort(routers);
        String server = kit.net + 21;
        int port = Kit.freePort(List.of(server));
        Servers s = new Servers("i-1", server, port);
        kit.platform(platform, list, () -> "{\"service\":\"s\",\"address\":\"" + server + ':' + port
                + "\",\"zone\":\"zone-1\",\"version\":\"v1\",\"slots\":64,\"state\":\"ready\",\"cold_remaining_ms\":0,\"id\":\"i-1\"}");
        String seeds = String.join(",", hosts.stream().map(h -> h + ':' + operators).toList());
        List<Proxy> proxies = new ArrayList<>();
        for (String h : hosts) {
            Path data = kit.temp.resolve("data-" + h);
            Files.createDirectories(data);
            kit.start("control", "control-" + h, kit.settings("control.ini", "control-" + h, Map.of(
                    "ip", h, "zone", "zone-" + h, "seeds", seeds, "internal_ports", peers + "," + (peers + 15),
                    "cloud.address", platform + ':' + list, "listen.control_plane", h + ':' + operators,
                    "bootstrap", "true", "data_dir", data.toString())));
            proxies.add(new Proxy(h, proxied, peers));
        }
        for (String h : routers) {
            kit.start("router", "router-" + h, kit.settings("router.ini", "router-" + h, Map.of(
                    "node_name", "edge-" + h, "zone", "zone-1", "ip", h, "seeds", seeds,
                    "internal_ports", proxied + "," + own, "internal_ports.1", Integer.toString(own),
                    "cloud.address", platform + ':' + list, "listen.frontend", h + ':' + callers,
                    "listen.readiness", h + ':' + readiness, "bounds.budget_slack", "58")));
        }
        if (!publish(20)) {
            return 2;
        }
        Kit.sleep(3_000);
        Map<String, Integer> before = traffic(8);
        kit.log("before: " + before);
        if (before.getOrDefault("200", 0) < 40) {
            return 2;
        }
        if (kit.trouble) {
            kit.log("the routers are cut off from the control members");
            proxies.forEach(p -> p.cut(true));
        }
        kit.log("meanwhile: " + traffic(CUT_S));
        proxies.forEach(p -> p.cut(false));
        kit.log("the routers reach the control members again");
        kit.log("up to recover_s later: " + traffic(RECOVER_S));
        Map<String, Integer> after = traffic(12);
        int all = after.values().stream().mapToInt(Integer::intValue).sum();
        int served = after.getOrDefault("200", 0);
        for (String h : routers) {
            kit.log("readiness of " + h + ": " + Kit.call("GET", "http://" + h + ':' + readiness + "/api/readyz", null, 1_000).status());
        }
        kit.log("later than recover_s: " + after + ", served " + served + " of " + all + "; the server ran " + s.runs.size());
        return served * 4 < all ? 1 : 0;
    }

    /** Sends ten requests a second to the routers in turn, and returns how many ended in which way. */
    private Map<String, Integer> traffic(double seconds) {
        Map<String, Integer> answers = new TreeMap<>();
        double end = kit.now() + seconds;
        while (kit.now() < end) {
            int n = ids.incrementAndGet();
            String request = "GET /a/x HTTP/1.1\r\nHost: a.example\r\nX-Request-Id: q" + n + "\r\nX-Deadline-Ms: 1500\r\n"
                    + "X-Credential: key" + n % TENANTS + "\r\nX-Token-Usage: 200,50\r\n\r\n";
            answers.merge(send(routers.get(n / TENANTS % ROUTERS), request), 1, Integer::sum);
            Kit.sleep(100);
        }
        return answers;
    }

    private String send(String host, String request) {
        try (Socket s = new Socket()) {
            s.connect(new InetSocketAddress(host, callers), 1_000);
            s.setSoTimeout(2_000);
            s.getOutputStream().write(request.getBytes(StandardCharsets.US_ASCII));
            InputStream in = s.getInputStream();
            byte[] text = in.readNBytes(12);
            return text.length < 12 ? "no answer" : new String(text, 9, 3, StandardCharsets.US_ASCII);
        } catch (IOException e) {
            return "no answer";
        }
    }

    private boolean publish(double seconds) {
        List<String> tenants = new ArrayList<>();
        for (int i = 0; i < TENANTS; i++) {
            tenants.add("{\"name\":\"t" + i + "\",\"api_keys\":[\"key" + i + "\"],\"priority\":1,\"prepaid\":10000000}");
        }
        String body = "{\"version\":1,\"routes\":[{\"name\":\"r-a\",\"host\":\"a.example\",\"path_prefix\":\"/a/\","
                + "\"type\":\"idempotent\",\"timeout_ms\":1500,\"latency_goal_ms\":300,\"priority\":1,\"service\":\"s\","
                + "\"max_attempts\":2,\"public\":false,\"sticky\":false}],\"services\":[{\"name\":\"s\",\"health_path\":\"/healthz\","
                + "\"max_connections\":370,\"protocol\":\"h1\",\"tls\":false}],\"limits\":{\"max_header_bytes\":16384,"
                + "\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000},\"tenants\":["
                + String.join(",", tenants) + "]}";
        double end = kit.now() + seconds;
        while (kit.now() < end) {
            for (String h : hosts) {
                if (Kit.call("POST", "http://" + h + ':' + operators + "/api/config/replace", body, 1_000).status() == 200) {
                    kit.log("version 1 acknowledged by " + h);
                    return true;
                }
            }
            Kit.sleep(100);
        }
        return false;
    }
}
