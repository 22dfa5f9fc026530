import java.net.Socket;
import java.nio.file.Path;

/** An operator sends an invalid configuration: two routes have the same host and prefix. */
public final class HostCase {
    private HostCase() {}

    public static void main(String[] args) throws Exception {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        int code = 2;
        try (Fleet fleet = new Fleet(Path.of(args[0]), System.nanoTime())) {
            code = run(fleet, trouble);
        } catch (Exception e) {
            e.printStackTrace();
        }
        System.exit(code);
    }

    private static boolean serve(Fleet.Server server, Socket s, Net.Message request) throws Exception {
        server.answer(s.getOutputStream(), request, 200, server.service, "");
        return true;
    }

    private static int run(Fleet fleet, boolean trouble) throws Exception {
        fleet.log("trouble " + trouble);
        String[] zones = {"zone-a", "zone-b", "zone-c"};
        for (String z : zones) {
            fleet.machine("edge-" + z, z, true);
        }
        fleet.new Server("i-1", "assistant", "v1", "zone-a", 8, HostCase::serve);
        fleet.new Server("i-2", "booking", "v1", "zone-b", 8, HostCase::serve);
        for (Fleet.Machine m : fleet.machines) {
            m.start("control");
            m.start("router");
        }
        Net.Message first = fleet.operate("POST", "/api/config/replace", config(3, route("r-1", "shop.example", "assistant")), 20);
        if (first == null || first.status() != 200 || !fleet.awaitReady(20)) {
            return 2;
        }
        Thread.sleep(2_500);
        String routes = route("r-1", "shop.example", "assistant")
                + (trouble ? "," + route("r-2", "Shop.example", "booking") : "," + route("r-2", "desk.example", "booking"));
        Net.Message second = fleet.operate("POST", "/api/config/replace", config(7, routes), 4);
        Thread.sleep(2_500);
        Net.Message read = fleet.operate("GET", "/api/config/describe", "", 4);
        for (String host : trouble ? new String[] {"shop.example", "Shop.example"} : new String[] {"shop.example", "desk.example"}) {
            for (Fleet.Machine m : fleet.machines) {
                Net.Message answer = request(fleet, m, host);
                fleet.log("request for " + host + "/list/ at " + m.name + " -> " + answer.status() + " by a server of "
                        + answer.text());
            }
        }
        boolean acknowledged = second != null && second.status() == 200;
        boolean inForce = read != null && read.text().startsWith("{\"version\":7,");
        fleet.log("the second configuration is acknowledged: " + acknowledged + ", read back: " + inForce);
        boolean broken = trouble && (acknowledged || inForce);
        if (!trouble && !acknowledged) {
            return 2;
        }
        fleet.log(broken ? "RULE BROKEN: what is invalid is acknowledged and in force" : "the rule held");
        return broken ? 1 : 0;
    }

    private static Net.Message request(Fleet fleet, Fleet.Machine m, String host) throws Exception {
        try (Socket s = Net.connect(m.ip, fleet.frontendPort, 1_000, 2_000)) {
            String id = "r" + Long.toHexString(fleet.random.nextLong());
            Net.write(s.getOutputStream(), Client.head("GET", "/list/1", host, id, "", -1), new byte[0]);
            Net.Message answer = Net.readHead(s.getInputStream());
            Net.readBody(s.getInputStream(), answer, true);
            return answer;
        }
    }

    private static String route(String name, String host, String service) {
        return "{\"name\":\"" + name + "\",\"host\":\"" + host + "\",\"path_prefix\":\"/list/\",\"type\":\"idempotent\","
                + "\"timeout_ms\":800,\"latency_goal_ms\":300,\"priority\":2,\"service\":\"" + service
                + "\",\"max_attempts\":2,\"public\":true,\"sticky\":false,\"resumable\":false}";
    }

    private static String config(int version, String routes) {
        return "{\"version\":" + version + ",\"routes\":[" + routes + "],\"services\":[{\"name\":\"assistant\","
                + "\"health_path\":\"/healthz\",\"max_connections\":370,\"protocol\":\"h1\",\"tls\":false},"
                + "{\"name\":\"booking\",\"health_path\":\"/healthz\",\"max_connections\":110,\"protocol\":\"h1\","
                + "\"tls\":false}],\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,"
                + "\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}";
    }
}
