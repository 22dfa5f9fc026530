import java.io.File;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A member loses its disk, comes back and is killed once more while it joins. It has to start again. Later another
 * machine is lost, which fault_tolerance allows, and the operator sends and reads a configuration.
 */
final class WipedMemberKilled {
    private static final int MEMBERS = 3;
    private static final long TRIES_END_S = 60;

    private final Kit kit;
    private final List<String> hosts = new ArrayList<>();
    private final Process[] members = new Process[MEMBERS];
    // A machine that loses its disk gets the next, empty folder.
    private final int[] disks = new int[MEMBERS];
    private int operators;
    private int peers;
    private int list;
    private String platform = "";

    private WipedMemberKilled(Kit kit) {
        this.kit = kit;
    }

    public static void main(String[] args) throws Exception {
        int code;
        try (Kit kit = new Kit(args[0])) {
            code = new WipedMemberKilled(kit).run();
            kit.log("exit " + code);
        }
        System.exit(code);
    }

    private int run() throws Exception {
        for (int i = 1; i <= MEMBERS; i++) {
            hosts.add(kit.net + i);
        }
        platform = kit.net + 9;
        operators = Kit.freePort(hosts);
        peers = Kit.freePort(hosts);
        list = Kit.freePort(List.of(platform));
        kit.platform(platform, list, () -> "");
        for (int i = 0; i < MEMBERS; i++) {
            members[i] = startMember(i, true);
        }
        if (!publish(1, 20)) {
            kit.log("the fleet did not start");
            return 2;
        }
        int read = readMany(2_600);
        kit.log("operator read the configuration " + read + " times");
        if (read < 2_300) {
            return 2;
        }
        Kit.sleep(1_000);
        int wiped = 2;
        boolean stuck = false;
        for (int attempt = 1; !stuck && kit.now() < TRIES_END_S; attempt++) {
            kit.log("attempt " + attempt + ": member " + hosts.get(wiped) + " is killed and loses its disk");
            Kit.kill(members[wiped]);
            disks[wiped]++;
            members[wiped] = startMember(wiped, false);
            if (!kit.trouble) {
                Kit.sleep(6_000);
                break;
            }
            if (!killInTheMiddle(wiped)) {
                continue;
            }
            members[wiped] = startMember(wiped, false);
            stuck = members[wiped].waitFor(3, TimeUnit.SECONDS);
            kit.log(stuck ? "it ended by itself, code " + members[wiped].exitValue() : "it runs again");
        }
        // The platform restarts a process that ends, here for longer than catch_up_s.
        Thread restarter = new Thread(() -> keepRunning(wiped));
        restarter.setDaemon(true);
        restarter.start();
        Kit.sleep(8_000);
        kit.log("machine " + hosts.get(1) + " is lost");
        Kit.kill(members[1]);
        boolean sent = publish(2, 20);
        boolean read2 = false;
        double end = kit.now() + 5;
        while (!read2 && kit.now() < end) {
            for (String h : hosts) {
                read2 |= Kit.call("GET", "http://" + h + ':' + operators + "/api/config/describe", null, 1_000).status() == 200;
            }
            Kit.sleep(100);
        }
        kit.log("version 2 acknowledged: " + sent + ", configuration read back: " + read2);
        return sent && read2 ? 0 : 1;
    }

    private Path data(int i) {
        return kit.temp.resolve("data-" + hosts.get(i) + "-" + disks[i]);
    }

    private Process startMember(int i, boolean first) throws IOException {
        Files.createDirectories(data(i));
        String seeds = String.join(",", hosts.stream().map(h -> h + ':' + operators).toList());
        Path s = kit.settings("control.ini", "control-" + hosts.get(i), Map.of(
                "ip", hosts.get(i), "zone", "zone-" + i, "seeds", seeds,
                "internal_ports", peers + "," + (peers + 15), "cloud.address", platform + ':' + list,
                "listen.control_plane", hosts.get(i) + ':' + operators, "bootstrap", Boolean.toString(first),
                "data_dir", data(i).toString()));
        return kit.start("control", "control-" + hosts.get(i), s);
    }

    private synchronized void keepRunning(int i) {
        while (true) {
            try {
                int code = members[i].waitFor();
                kit.log("member " + hosts.get(i) + " ended by itself, code " + code + "; it is started again");
                Kit.sleep(700);
                members[i] = startMember(i, false);
            } catch (IOException | InterruptedException e) {
                return;
            }
        }
    }

    /** Kills the member while it replaces its log by the snapshot that it received. Returns whether it was caught. */
    private boolean killInTheMiddle(int i) {
        File[] groups = {data(i).resolve("group-0").toFile(), data(i).resolve("group-1").toFile()};
        double end = kit.now() + 7;
        while (kit.now() < end) {
            for (File g : groups) {
                String[] names = g.list();
                if (names == null) {
                    continue;
                }
                boolean log = false;
                boolean snapshot = false;
                for (String n : names) {
                    log |= n.startsWith("log-");
                    snapshot |= n.startsWith("snapshot-");
                }
                if (snapshot && !log) {
                    Kit.kill(members[i]);
                    kit.log("the member was killed while it joined; files of " + g.getName() + " then: "
                            + String.join(" ", g.list()));
                    return true;
                }
            }
        }
        kit.log("the member was not caught while it joined");
        return false;
    }

    private int readMany(int count) throws InterruptedException {
        AtomicInteger good = new AtomicInteger();
        AtomicInteger left = new AtomicInteger(count);
        ExecutorService pool = Executors.newFixedThreadPool(8);
        for (int t = 0; t < 8; t++) {
            String url = "http://" + hosts.get(t % MEMBERS) + ':' + operators + "/api/config/describe";
            pool.execute(() -> {
                while (left.getAndDecrement() > 0 && kit.now() < 45) {
                    good.addAndGet(Kit.call("GET", url, null, 1_000).status() == 200 ? 1 : 0);
                }
            });
        }
        pool.shutdown();
        pool.awaitTermination(60, TimeUnit.SECONDS);
        return good.get();
    }

    private boolean publish(int version, double seconds) {
        String body = "{\"version\":" + version + ",\"routes\":[{\"name\":\"r\",\"host\":\"a.example\",\"path_prefix\":\"/a/\","
                + "\"type\":\"idempotent\",\"timeout_ms\":1000,\"latency_goal_ms\":300,\"priority\":1,\"service\":\"s\","
                + "\"max_attempts\":1,\"public\":true,\"sticky\":false}],\"services\":[{\"name\":\"s\",\"health_path\":\"/healthz\","
                + "\"max_connections\":100,\"protocol\":\"h1\",\"tls\":false}],\"limits\":{\"max_header_bytes\":16384,"
                + "\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}";
        double end = kit.now() + seconds;
        int tries = 0;
        while (kit.now() < end) {
            for (String h : hosts) {
                tries++;
                Kit.Reply r = Kit.call("POST", "http://" + h + ':' + operators + "/api/config/replace", body, 1_000);
                if (r.status() == 200) {
                    kit.log("version " + version + " acknowledged by " + h + " at call " + tries);
                    return true;
                }
                if (tries <= 6) {
                    kit.log("version " + version + " sent to " + h + ": " + r.status() + ' ' + r.body());
                }
            }
            Kit.sleep(100);
        }
        kit.log("version " + version + " got no acknowledgement in " + tries + " calls, " + seconds + " s");
        return false;
    }
}
