import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;

/** The configuration grows by many routes, again and again. Then an ordinary change is sent, and read back at the end. */
public final class ConfigGrows {
    private static final int GROWTHS = 30;
    private static final int ROUTES = 426;
    private static final double GAP_S = 1.5;
    private static final int PER_SECOND = 30;
    private static final ConcurrentLinkedQueue<Client.Outcome> outcomes = new ConcurrentLinkedQueue<>();
    private static volatile boolean stopping;

    private ConfigGrows() {}

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
        Thread.sleep(20);
        server.answer(s.getOutputStream(), request, 200, "answer", "");
        return true;
    }

    private static int run(Fleet fleet, boolean trouble) throws Exception {
        fleet.log("trouble " + trouble);
        String[] zones = {"zone-a", "zone-b", "zone-c"};
        for (int i = 0; i < 3; i++) {
            fleet.machine("edge-" + zones[i], zones[i], true);
        }
        for (int i = 0; i < 3; i++) {
            fleet.new Server("i-" + i, "booking", "v1", zones[i], 64, ConfigGrows::serve);
        }
        for (Fleet.Machine m : fleet.machines) {
            m.start("control");
            m.start("router");
        }
        Net.Message accepted = fleet.operate("POST", "/api/config/replace", config(1, 0, 800), 20);
        if (accepted == null || accepted.status() != 200 || !fleet.awaitReady(20)) {
            return 2;
        }
        fleet.machines.forEach(m -> m.first = false);
        Thread load = new Thread(() -> load(fleet));
        load.start();
        Thread.sleep(3_000);
        double start = fleet.now();
        java.util.concurrent.atomic.AtomicInteger acknowledged = new java.util.concurrent.atomic.AtomicInteger(1);
        java.util.concurrent.atomic.AtomicInteger open = new java.util.concurrent.atomic.AtomicInteger();
        List<Thread> orders = new ArrayList<>();
        for (int i = 0; i < GROWTHS; i++) {
            double at = start + i * GAP_S;
            fleet.sleepUntil(at);
            // At most eight orders are in progress at once.
            while (open.get() >= 8 && fleet.now() < start + 56) {
                Thread.sleep(100);
            }
            if (fleet.now() >= start + 56) {
                break;
            }
            int version = 3 + 2 * i;
            String text = config(version, trouble ? ROUTES * (i + 1) : 0, 801 + i);
            open.incrementAndGet();
            Thread order = new Thread(() -> {
                try {
                    // A change without a clear answer is sent again unchanged, to any daemon.
                    Net.Message m = fleet.operate("POST", "/api/config/replace", text, start + 62 - fleet.now());
                    if (m != null && m.status() == 200) {
                        acknowledged.accumulateAndGet(version, Math::max);
                        fleet.log("acknowledged " + version + " after " + Math.round((fleet.now() - at) * 1000) + " ms");
                    } else {
                        fleet.log("no acknowledgement of " + version + " within " + Math.round((fleet.now() - at) * 1000) + " ms");
                    }
                } catch (InterruptedException e) {
                    Thread.currentThread().interrupt();
                } finally {
                    open.decrementAndGet();
                }
            });
            order.start();
            orders.add(order);
        }
        for (Thread order : orders) {
            order.join();
        }
        int newest = acknowledged.get();
        double grownAt = fleet.now();
        fleet.log("newest acknowledged configuration: " + newest);
        // Nothing more is sent. The system has 12 s.
        Thread.sleep(12_000);
        double after = fleet.now();
        Net.Message read = fleet.operate("GET", "/api/config/describe", "", 12);
        fleet.sleepUntil(after + 12);
        stopping = true;
        load.join();
        Map<String, Integer> before = count(0, start);
        Map<String, Integer> during = count(start, grownAt);
        Map<String, Integer> end = count(after, fleet.now());
        long served = outcomes.stream().filter(o -> o.sent() >= after && o.served()).count();
        long all = outcomes.stream().filter(o -> o.sent() >= after).count();
        for (Fleet.Machine m : fleet.machines) {
            fleet.log(m.name + ": control runs " + m.alive("control") + ", router runs " + m.alive("router") + ", router is ready "
                    + fleet.ready(m));
        }
        fleet.log("requests before: " + before);
        fleet.log("requests while it grew: " + during);
        fleet.log("requests at the end: " + end + ", served " + served + " of " + all);
        String text = read == null ? "" : read.text();
        int readVersion = text.startsWith("{\"version\":")
                ? Integer.parseInt(text.substring(11, text.indexOf(',')))
                : 0;
        fleet.log("newest acknowledged configuration: " + newest + ", read back at the end: "
                + (readVersion == 0 ? "nothing" : readVersion));
        boolean broken = readVersion < newest;
        fleet.log(broken ? "RULE BROKEN: the configuration doesn't come" : "the rule held");
        return broken ? 1 : 0;
    }

    private static Map<String, Integer> count(double from, double to) {
        Map<String, Integer> answers = new TreeMap<>();
        outcomes.stream()
                .filter(o -> o.sent() >= from && o.sent() < to)
                .forEach(o -> answers.merge(o.status() + " " + o.end(), 1, Integer::sum));
        return answers;
    }

    private static void load(Fleet fleet) {
        ExecutorService pool = Executors.newFixedThreadPool(48);
        Random random = new Random(7);
        List<String> ips = new ArrayList<>();
        fleet.machines.forEach(m -> ips.add(m.ip));
        long next = System.nanoTime();
        for (int i = 0; !stopping; i++) {
            String id = "r" + i + "-" + Long.toHexString(random.nextLong());
            String ip = ips.get(random.nextInt(3));
            pool.execute(() -> outcomes.add(Client.send(
                    fleet, ip, "GET", "/list/" + id, id, "X-Deadline-Ms: 1500\r\n", new byte[0], 2_000)));
            next += 1_000_000_000L / PER_SECOND;
            try {
                Thread.sleep(Math.max(0, (next - System.nanoTime()) / 1_000_000));
            } catch (InterruptedException e) {
                return;
            }
        }
        pool.shutdownNow();
    }

    private static String config(int version, int idleRoutes, int timeoutMs) {
        StringBuilder b = new StringBuilder("{\"version\":" + version + ",\"routes\":["
                + "{\"name\":\"r-list\",\"host\":\"shop.example\",\"path_prefix\":\"/list/\",\"type\":\"idempotent\","
                + "\"timeout_ms\":" + timeoutMs + ",\"latency_goal_ms\":300,\"priority\":2,\"service\":\"booking\","
                + "\"max_attempts\":2,\"public\":true,\"sticky\":false,\"resumable\":false}");
        for (int i = 0; i < idleRoutes; i++) {
            b.append(",{\"name\":\"r-idle" + i + "\",\"host\":\"idle.example\",\"path_prefix\":\"/idle" + i
                    + "/\",\"type\":\"idempotent\",\"timeout_ms\":800,\"latency_goal_ms\":300,\"priority\":2,"
                    + "\"service\":\"booking\",\"max_attempts\":2,\"public\":true,\"sticky\":false,\"resumable\":false}");
        }
        return b + "],\"services\":[{\"name\":\"booking\",\"health_path\":\"/healthz\",\"max_connections\":110,"
                + "\"protocol\":\"h1\",\"tls\":false}],\"limits\":{\"max_header_bytes\":16384,"
                + "\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}";
    }
}
