import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;

/** The platform's list has one entry of another writer whose bytes cannot be read. The servers are replaced meanwhile. */
public final class ForeignEntry {
    private static final double DRAIN_S = 3.0;
    // Serves on for a little longer than drain_ms.
    private static final double STOP_S = 4.5;
    // No JSON and no UTF-8, but without brackets, quotes and commas, so that the ends of the entry are plain.
    private static final byte[] UNREADABLE = {0x17, 0x03, (byte) 0xff, (byte) 0xfe, ' ', 0x01, 'A', ' ', '#', (byte) 0x9c};
    private static final Map<String, Double> drainingAt = new ConcurrentHashMap<>();
    private static final Queue<String> late = new ConcurrentLinkedQueue<>();
    private static Fleet fleet;
    private static volatile boolean stopping;

    private ForeignEntry() {}

    public static void main(String[] args) throws Exception {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        int code = 2;
        try (Fleet f = new Fleet(Path.of(args[0]), System.nanoTime())) {
            fleet = f;
            code = run(trouble);
        } catch (Exception e) {
            e.printStackTrace();
        }
        System.exit(code);
    }

    private static boolean serve(Fleet.Server server, Socket s, Net.Message request) throws Exception {
        Double shown = drainingAt.get(server.id);
        if (shown != null && fleet.now() > shown + DRAIN_S) {
            late.add(request.header("X-Request-Id"));
            fleet.log("order " + request.header("X-Request-Id") + " reaches " + server.id + " "
                    + Math.round((fleet.now() - shown) * 1_000) + " ms after the list shows it as draining");
        }
        Thread.sleep(60);
        server.answer(s.getOutputStream(), request, 200, "answer", "");
        return true;
    }

    private static int run(boolean trouble) throws Exception {
        fleet.log("trouble " + trouble);
        String[] zones = {"zone-a", "zone-b", "zone-c"};
        for (String z : zones) {
            fleet.machine("edge-" + z, z, true);
        }
        List<Fleet.Server> old = new ArrayList<>();
        for (int i = 0; i < 3; i++) {
            old.add(fleet.new Server("i-old-" + i, "booking", "v1", zones[i], 64, ForeignEntry::serve));
        }
        for (Fleet.Machine m : fleet.machines) {
            m.start("control");
            m.start("router");
        }
        Net.Message first = fleet.operate("POST", "/api/config/replace", config(), 20);
        if (first == null || first.status() != 200 || !fleet.awaitReady(20)) {
            return 2;
        }
        ConcurrentLinkedQueue<Client.Outcome> outcomes = new ConcurrentLinkedQueue<>();
        List<Thread> clients = new ArrayList<>();
        for (int i = 0; i < 6; i++) {
            int n = i;
            Thread t = new Thread(() -> {
                for (int k = 0; !stopping; k++) {
                    String id = "order-" + n + "-" + k;
                    Client.Outcome o = Client.send(
                            fleet, fleet.machines.get((n + k) % 3).ip, "POST", "/orders/" + id, id, "X-Deadline-Ms: 1500\r\n",
                            "one element".getBytes(StandardCharsets.UTF_8), 2_000);
                    outcomes.add(o);
                    pause(o.served() ? 20 : 500);
                }
            });
            t.start();
            clients.add(t);
        }
        Thread.sleep(4_000);
        fleet.foreignEntries = trouble ? UNREADABLE : new byte[0];
        fleet.log("entry that cannot be read in the list: " + trouble);
        Thread.sleep(2_000);
        for (int i = 0; i < 3; i++) {
            fleet.new Server("i-new-" + i, "booking", "v1", zones[i], 64, ForeignEntry::serve);
            Thread.sleep(2_000);
            Fleet.Server leaving = old.get(i);
            leaving.draining = true;
            drainingAt.put(leaving.id, fleet.now());
            fleet.log("the list shows " + leaving.id + " as draining");
            Thread t = new Thread(() -> {
                try {
                    Thread.sleep((long) (STOP_S * 1_000));
                    leaving.stop();
                } catch (Exception e) {
                    fleet.log("not stopped: " + e);
                }
            });
            t.start();
        }
        Thread.sleep(8_000);
        double end = fleet.now() - 3;
        stopping = true;
        for (Thread t : clients) {
            t.join();
        }
        long cut = outcomes.stream().filter(o -> o.status() == 0 || o.status() == 502).count();
        long refused = outcomes.stream().filter(o -> o.status() == 503).count();
        long all = outcomes.size();
        long servedAtEnd = outcomes.stream().filter(o -> o.sent() > end && o.served()).count();
        long allAtEnd = outcomes.stream().filter(o -> o.sent() > end).count();
        fleet.log("orders " + all + ", answered 502 or cut off " + cut + ", refused " + refused);
        fleet.log("served in the last seconds: " + servedAtEnd + " of " + allAtEnd);
        fleet.log("orders that reached a leaving server later than 3000 ms: " + late.size());
        boolean broken = !late.isEmpty();
        fleet.log(broken ? "RULE BROKEN: leaving servers get requests" : "the rule held");
        return broken ? 1 : 0;
    }

    private static void pause(int ms) {
        try {
            Thread.sleep(ms);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private static String config() {
        return "{\"version\":3,\"routes\":[{\"name\":\"r-orders\",\"host\":\"shop.example\",\"path_prefix\":\"/orders/\","
                + "\"type\":\"non_idempotent\",\"timeout_ms\":800,\"latency_goal_ms\":300,\"priority\":2,"
                + "\"service\":\"booking\",\"max_attempts\":1,\"public\":true,\"sticky\":false,\"resumable\":false}],"
                + "\"services\":[{\"name\":\"booking\",\"health_path\":\"/healthz\",\"max_connections\":110,"
                + "\"protocol\":\"h1\",\"tls\":false}],\"limits\":{\"max_header_bytes\":16384,"
                + "\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}";
    }
}
