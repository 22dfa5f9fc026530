import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** The operator sends hundreds of changes of a configuration that has grown by many routes. */
final class ManyChanges {
    private static final int MEMBERS = 3;
    private static final int ADDED_ROUTES = Integer.getInteger("routes", 852);
    private static final int CHANGES = Integer.getInteger("changes", 400);
    private static final long GAP_MS = Long.getLong("gap", 330);
    private static final double END_S = Integer.getInteger("end", 80);

    private final Kit kit;
    private final List<String> hosts = new ArrayList<>();
    private int operators;

    private ManyChanges(Kit kit) {
        this.kit = kit;
    }

    public static void main(String[] args) throws Exception {
        int code;
        try (Kit kit = new Kit(args[0])) {
            code = new ManyChanges(kit).run();
            kit.log("exit " + code);
        }
        System.exit(code);
    }

    private int run() throws Exception {
        for (int i = 1; i <= MEMBERS; i++) {
            hosts.add(kit.net + i);
        }
        String platform = kit.net + 9;
        operators = Kit.freePort(hosts);
        int peers = Kit.freePort(hosts);
        int list = Kit.freePort(List.of(platform));
        kit.platform(platform, list, () -> "");
        String seeds = String.join(",", hosts.stream().map(h -> h + ':' + operators).toList());
        List<Process> members = new ArrayList<>();
        for (String h : hosts) {
            Path data = kit.temp.resolve("data-" + h);
            Files.createDirectories(data);
            members.add(kit.start("control", "control-" + h, kit.settings("control.ini", "control-" + h, Map.of(
                    "ip", h, "zone", "zone-" + h, "seeds", seeds, "internal_ports", peers + "," + (peers + 15),
                    "cloud.address", platform + ':' + list, "listen.control_plane", h + ':' + operators,
                    "bootstrap", "true", "data_dir", data.toString()))));
        }
        if (!publish(1, 5, 20)) {
            kit.log("the fleet did not start");
            return 2;
        }
        // Without the disruption, the same changes are made, but the configuration has not grown.
        int routes = kit.trouble ? 5 + ADDED_ROUTES : 5;
        kit.log("a configuration with " + routes + " routes has " + document(1, routes).length() + " bytes");
        int acknowledged = 1;
        int missed = 0;
        for (int version = 2; version <= CHANGES && kit.now() < END_S; version++) {
            double begin = kit.now();
            // ack_ms, with 3 ms more for each route, and a second for the last call.
            boolean sent = publish(version, routes, 5 + 0.003 * routes);
            acknowledged = sent ? version : acknowledged;
            missed += sent ? 0 : 1;
            long ms = Math.round((kit.now() - begin) * 1_000);
            if (version % 50 == 0 || ms > 1_000) {
                kit.log("version " + version + (sent ? " acknowledged after " : " not acknowledged after ") + ms + " ms");
            }
            Kit.sleep(Math.max(0, GAP_MS - ms));
        }
        kit.log("last version acknowledged: " + acknowledged + "; changes without an acknowledgement: " + missed);
        for (int i = 0; i < MEMBERS; i++) {
            kit.log("member " + hosts.get(i) + (members.get(i).isAlive() ? " runs" : " has ended by itself"));
        }
        // The operator reads the configuration repeatedly, for longer than contact_ms and ack_ms.
        Map<String, Integer> reads = new TreeMap<>();
        double end = kit.now() + 12;
        int good = 0;
        while (kit.now() < end && good < 3) {
            for (String h : hosts) {
                Kit.Reply r = Kit.call("GET", "http://" + h + ':' + operators + "/api/config/describe", null, 1_000);
                int version = r.status() == 200 ? Integer.parseInt(r.body().substring(11, r.body().indexOf(','))) : 0;
                good += version >= acknowledged ? 1 : 0;
                reads.merge(r.status() == 200 ? (version >= acknowledged ? "200" : "200 and too old") : Integer.toString(r.status()), 1, Integer::sum);
            }
            Kit.sleep(100);
        }
        kit.log("reads of the configuration at the end: " + reads);
        return missed == 0 && good >= 3 ? 0 : 1;
    }

    private static String document(int version, int routes) {
        StringBuilder b = new StringBuilder("{\"version\":" + version + ",\"routes\":[");
        for (int i = 0; i < routes; i++) {
            b.append(i > 0 ? "," : "").append("{\"name\":\"r-i6y7z5k").append(i).append("\",\"host\":\"ficu95.example\",\"path_prefix\":\"/pufi")
                    .append(i).append("/\",\"type\":\"streaming\",\"timeout_ms\":").append(4_000 + version)
                    .append(",\"latency_goal_ms\":600,\"priority\":0,\"service\":\"huvo11a\",\"max_attempts\":2,\"public\":false,"
                            + "\"sticky\":true,\"resumable\":true,\"gap_goal_ms\":600}");
        }
        return b.append("],\"services\":[{\"name\":\"huvo11a\",\"health_path\":\"/healthz\",\"max_connections\":370,"
                + "\"protocol\":\"h1\",\"tls\":false}],\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,"
                + "\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000},\"tenants\":[{\"name\":\"hule930\",\"api_keys\":["
                + "\"n2ctnfzs989anu6wsjnb\"],\"priority\":1,\"prepaid\":3552842}]}").toString();
    }

    private boolean publish(int version, int routes, double seconds) {
        String body = document(version, routes);
        double end = kit.now() + seconds;
        int tries = 0;
        while (kit.now() < end) {
            for (String h : hosts) {
                tries++;
                Kit.Reply r = Kit.call("POST", "http://" + h + ':' + operators + "/api/config/replace", body, 2_300);
                if (r.status() == 200) {
                    return true;
                }
                if (version > 1 && tries <= 6) {
                    kit.log("version " + version + " sent to " + h + ": " + r.status() + ' ' + r.body());
                }
            }
            Kit.sleep(100);
        }
        kit.log("version " + version + " got no acknowledgement in " + tries + " calls, " + seconds + " s");
        return false;
    }
}
