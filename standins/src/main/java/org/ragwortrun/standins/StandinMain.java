package org.ragwortrun.standins;

import java.io.IOException;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import org.ragwortrun.core.concurrent.Closer;

/**
 * Runs one stand-in as a process: {@code --kind engine|service|hosts|proxy --listen IP:PORT} and options of the kind.
 *
 * <p>Prints {@code listening=PORT} once the stand-in accepts connections.
 */
public final class StandinMain {
    private static final int USAGE = 2;

    private StandinMain() {}

    public static void main(String[] args) throws IOException, InterruptedException {
        Map<String, String> options = new HashMap<>();
        for (int i = 0; i + 1 < args.length; i += 2) {
            options.put(args[i], args[i + 1]);
        }
        String[] listen = options.getOrDefault("--listen", "127.0.0.1:0").split(":", 2);
        if (args.length % 2 != 0 || listen.length != 2) {
            usage();
            return;
        }
        Closer closer = new Closer();
        int port = start(options, listen[0], Integer.parseInt(listen[1]), closer);
        if (port < 0) {
            usage();
            return;
        }
        CountDownLatch stopped = new CountDownLatch(1);
        Runtime.getRuntime().addShutdownHook(new Thread(stopped::countDown));
        System.out.println("listening=" + port);
        stopped.await();
        closer.close();
    }

    private static int start(Map<String, String> options, String host, int port, Closer closer) throws IOException {
        switch (options.getOrDefault("--kind", "")) {
            case "engine" -> {
                EngineOptions engine = EngineOptions.defaults()
                        .withListen(host, port)
                        .withVersion(options.getOrDefault("--version", "v1"))
                        .withTokenMs(number(options, "--token-ms", 5))
                        .withSlots(number(options, "--slots", 16))
                        .withKv(number(options, "--kv-capacity", 200_000), number(options, "--kv-limit", 0))
                        .withFencing("yes".equals(options.get("--checks-fencing")))
                        .withLag(number(options, "--event-lag-ms", 0), number(options, "--load-lag-ms", 0));
                StandinEngine started = closer.register(StandinEngine.start(engine));
                started.setBehaviour(behaviour(options));
                return started.port();
            }
            case "service" -> {
                StandinService started = closer.register(StandinService.start(ServiceOptions.defaults()
                        .withListen(host, port)
                        .withVersion(options.getOrDefault("--version", "v1"))
                        .withDelayMs(number(options, "--delay-ms", 0))
                        .withDedupeHeader(options.getOrDefault("--dedupe-header", ""))));
                started.setBehaviour(behaviour(options));
                return started.port();
            }
            case "hosts" -> {
                HostList list = closer.register(HostList.start(host, port, number(options, "--lag-ms", 0)));
                for (String name : options.getOrDefault("--live", "").split(",")) {
                    if (!name.isBlank()) {
                        list.setLive(name.trim());
                    }
                }
                return list.port();
            }
            case "proxy" -> {
                String[] target = options.getOrDefault("--target", "").split(":", 2);
                if (target.length != 2) {
                    return -1;
                }
                FaultProxy proxy =
                        closer.register(FaultProxy.start(host, port, target[0], Integer.parseInt(target[1])));
                proxy.delay(number(options, "--delay-ms", 0));
                return proxy.port();
            }
            default -> {
                return -1;
            }
        }
    }

    private static Behaviour behaviour(Map<String, String> options) {
        return new Behaviour(
                number(options, "--fail-permille", 0),
                number(options, "--extra-ms", 0),
                -1,
                options.getOrDefault("--only-route", ""),
                number(options, "--after-requests", 0),
                number(options, "--above-running", 0));
    }

    private static int number(Map<String, String> options, String name, int fallback) {
        return Integer.parseInt(options.getOrDefault(name, Integer.toString(fallback)));
    }

    private static void usage() {
        System.err.println("usage: --kind engine|service|hosts|proxy --listen IP:PORT [--version V] [--token-ms N]"
                + " [--slots N] [--kv-capacity N] [--kv-limit N] [--checks-fencing yes] [--event-lag-ms N]"
                + " [--load-lag-ms N] [--delay-ms N] [--dedupe-header H] [--lag-ms N] [--live H,H] [--target IP:PORT]"
                + " [--fail-permille N] [--extra-ms N] [--only-route R] [--after-requests N] [--above-running N]");
        System.exit(USAGE);
    }
}
