import java.net.Socket;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;

/**
 * A rollout of a good version is completed, and the platform stops the old servers. Then servers lose answers for four
 * seconds. At the end all processes are killed, and the operator reads the rollout back.
 */
public final class RolloutUndone {
    private static final int PER_SECOND = 60;

    private RolloutUndone() {}

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

    private static volatile boolean losing;
    private static volatile boolean stopping;
    private static final ConcurrentLinkedQueue<Client.Outcome> outcomes = new ConcurrentLinkedQueue<>();

    private static boolean serve(Fleet.Server server, Socket s, Net.Message request) throws Exception {
        if (request.first.startsWith("GET /healthz")) {
            Net.write(
                    s.getOutputStream(),
                    "HTTP/1.1 200 OK\r\nX-Instance-Id: " + server.id + "\r\nContent-Length: 0\r\n\r\n",
                    new byte[0]);
            return true;
        }
        Thread.sleep(20);
        // Three of five servers lose 40 of 100 answers.
        boolean affected = losing && Integer.parseInt(server.id.substring(server.id.lastIndexOf('-') + 1)) <= 3;
        if (affected && Math.floorMod(request.header("X-Request-Id").hashCode(), 100) < 40) {
            s.setSoLinger(true, 0);
            return false;
        }
        server.answer(s.getOutputStream(), request, 200, "answer", "");
        return true;
    }

    private static int run(Fleet fleet, boolean trouble) throws Exception {
        fleet.log("trouble " + trouble);
        String[] zones = {"zone-a", "zone-b", "zone-c"};
        for (int i = 0; i < 3; i++) {
            fleet.machine("edge-" + zones[i], zones[i], true);
        }
        for (int i = 1; i <= 5; i++) {
            fleet.new Server("i-old-" + i, "catalogue", "v1", zones[i % 3], 64, RolloutUndone::serve);
        }
        for (Fleet.Machine m : fleet.machines) {
            m.start("control");
            m.start("router");
        }
        Net.Message accepted = fleet.operate("POST", "/api/config/replace", config(5, 1_000), 20);
        if (accepted == null || accepted.status() != 200 || !fleet.awaitReady(20)) {
            return 2;
        }
        fleet.machines.forEach(m -> m.first = false);
        Thread load = new Thread(() -> load(fleet));
        load.start();
        Thread.sleep(3_000);
        List<Fleet.Server> fresh = new ArrayList<>();
        for (int i = 1; i <= 5; i++) {
            fresh.add(fleet.new Server("i-new-" + i, "catalogue", "v2", zones[i % 3], 64, RolloutUndone::serve));
        }
        Thread.sleep(1_500);
        Net.Message begun = fleet.operate(
                "POST", "/api/rollouts/begin", "{\"service\":\"catalogue\",\"target\":\"v2\",\"duration_s\":15}", 4);
        if (begun == null || begun.status() != 200) {
            return 2;
        }
        String state = "";
        double end = fleet.now() + 40;
        while (!state.contains("completed") && fleet.now() < end) {
            Thread.sleep(400);
            Net.Message m = fleet.operate("GET", "/api/rollouts/catalogue/describe", "", 2);
            state = m == null ? "" : m.text();
        }
        if (!state.contains("completed")) {
            fleet.log("the rollout was not completed, so the case cannot run");
            return 2;
        }
        fleet.log("the operator has read: completed; the platform stops the old servers");
        for (Fleet.Server s : List.copyOf(fleet.servers)) {
            if (s.version.equals("v1")) {
                s.stop();
            }
        }
        Thread.sleep(5_000);
        double before = fleet.now();
        fleet.log("servers lose answers: " + trouble);
        losing = trouble;
        Thread.sleep(4_000);
        losing = false;
        fleet.log("servers answer again");
        Thread.sleep(4_000);
        Net.Message changed = fleet.operate("POST", "/api/config/replace", config(9, 1_100), 4);
        fleet.log("final fault: all processes are killed");
        for (Fleet.Machine m : fleet.machines) {
            m.signal("router", "KILL");
            m.signal("control", "KILL");
        }
        Thread.sleep(900);
        for (Fleet.Machine m : fleet.machines) {
            m.start("control");
            m.start("router");
        }
        double back = fleet.now();
        fleet.sleepUntil(back + 12);
        String read = "";
        for (int i = 0; i < 6; i++) {
            Net.Message m = fleet.operate("GET", "/api/rollouts/catalogue/describe", "", 3);
            read = m == null ? read : m.text();
            Thread.sleep(500);
        }
        Net.Message configuration = fleet.operate("GET", "/api/config/describe", "", 3);
        stopping = true;
        load.join();
        long served = outcomes.stream().filter(o -> o.sent() < before && o.served()).count();
        long all = outcomes.stream().filter(o -> o.sent() < before).count();
        long servedAfter = outcomes.stream().filter(o -> o.sent() > back + 12 && o.served()).count();
        long allAfter = outcomes.stream().filter(o -> o.sent() > back + 12).count();
        fleet.log("served before: " + served + " of " + all + ", after recovery: " + servedAfter + " of " + allAfter);
        fleet.log("configuration 9 acknowledged: " + (changed != null && changed.status() == 200) + ", read back: "
                + (configuration != null && configuration.text().contains("\"version\":9")));
        boolean broken = !read.contains("\"completed\"");
        fleet.log("rollout acknowledged as completed, read back after the final fault: " + read);
        fleet.log(broken ? "RULE BROKEN: the acknowledged rollout is gone" : "the rule held");
        return broken ? 1 : 0;
    }

    private static void load(Fleet fleet) {
        ExecutorService pool = Executors.newFixedThreadPool(64);
        Random random = new Random(7);
        long next = System.nanoTime();
        for (int i = 0; !stopping; i++) {
            String id = "r" + i + "-" + Long.toHexString(random.nextLong());
            String ip = fleet.machines.get(random.nextInt(3)).ip;
            pool.execute(() -> outcomes.add(Client.send(
                    fleet, ip, "GET", "/list/" + id, id, "X-Deadline-Ms: 1500\r\n", new byte[0], 1_500)));
            next += 1_000_000_000L / PER_SECOND;
            long left = next - System.nanoTime();
            try {
                Thread.sleep(Math.max(0, left / 1_000_000));
            } catch (InterruptedException e) {
                return;
            }
        }
        pool.shutdownNow();
    }

    private static String config(int version, int timeoutMs) {
        return "{\"version\":" + version + ",\"routes\":[{\"name\":\"r-list\",\"host\":\"shop.example\","
                + "\"path_prefix\":\"/list/\",\"type\":\"idempotent\",\"timeout_ms\":" + timeoutMs
                + ",\"latency_goal_ms\":300,\"priority\":2,\"service\":\"catalogue\",\"max_attempts\":2,"
                + "\"public\":true,\"sticky\":false,\"resumable\":false}],\"services\":[{\"name\":\"catalogue\","
                + "\"health_path\":\"/healthz\",\"max_connections\":370,\"protocol\":\"h1\",\"tls\":false}],"
                + "\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,"
                + "\"idle_timeout_ms\":15000}}";
    }
}
