package org.ragwortrun.standins;

import java.io.IOException;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import org.apache.hc.core5.http.ClassicHttpRequest;
import org.apache.hc.core5.http.ClassicHttpResponse;

/**
 * A stand-in for a service that places orders at {@code /orders/place} and answers queries at {@code /stock/ITEM}.
 *
 * <p>It records how many times each order ran, by the header {@code Idempotency-Key}. {@code GET /standin/record}
 * returns this record.
 */
public final class StandinService implements AutoCloseable {
    /** A fault that is injected into orders. */
    public enum Fault {
        NONE,
        /** The connection is closed without an answer after the order ran. */
        CLOSE_AFTER_RUN,
        /** The connection is closed before the order runs. */
        CLOSE_BEFORE_RUN
    }

    private static final String KEY_HEADER = "Idempotency-Key";

    private final ServiceOptions options;
    private final StandinServer server;
    private final Map<String, AtomicInteger> runs = new ConcurrentHashMap<>();
    private final Map<String, Map<String, Object>> byDedupeKey = new ConcurrentHashMap<>();
    private final AtomicInteger faultsLeft = new AtomicInteger();
    private final AtomicLong served = new AtomicLong();
    private final AtomicLong orders = new AtomicLong();
    private final AtomicInteger inFlight = new AtomicInteger();
    private volatile Fault fault = Fault.NONE;
    private volatile Behaviour behaviour = Behaviour.NO_FAULTS;

    private StandinService(ServiceOptions options) throws IOException {
        this.options = options;
        server = new StandinServer(options.host(), options.port(), (request, response, context) -> {
            try {
                handle(request, response);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
                throw new IOException("interrupted", e);
            }
        });
    }

    /** Starts a service. */
    public static StandinService start(ServiceOptions options) throws IOException {
        StandinService service = new StandinService(options);
        service.server.start();
        return service;
    }

    public int port() {
        return server.port();
    }

    public String url() {
        return "http://" + options.host() + ":" + port();
    }

    public void setBehaviour(Behaviour next) {
        behaviour = next;
    }

    /** Applies a fault to the next orders. */
    public void fail(Fault next, int count) {
        fault = next;
        faultsLeft.set(count);
    }

    /** Returns how many times the order with a key ran. */
    public int runs(String key) {
        AtomicInteger n = runs.get(key);
        return n == null ? 0 : n.get();
    }

    /** Returns how many times each order ran, by key. */
    public Map<String, Integer> record() {
        Map<String, Integer> copy = new LinkedHashMap<>();
        runs.forEach((k, n) -> copy.put(k, n.get()));
        return copy;
    }

    /** Stops the server and closes all connections, as a crash does. The record of runs is kept. */
    public void crash() {
        server.stopImmediately();
    }

    public void restart() throws IOException {
        server.start();
    }

    @Override
    public void close() {
        server.close();
    }

    private void handle(ClassicHttpRequest request, ClassicHttpResponse response)
            throws IOException, InterruptedException {
        String path = request.getPath();
        if ("/health".equals(path)) {
            StandinServer.answer(response, 200, Map.of("version", options.version()));
        } else if ("/standin/record".equals(path)) {
            StandinServer.answer(response, 200, record());
        } else if ("/standin/in-flight".equals(path)) {
            StandinServer.answer(response, 200, Map.of("requests", inFlight.get()));
        } else if ("/standin/behaviour".equals(path)) {
            behaviour = Behaviour.of(StandinServer.json(request));
            StandinServer.answer(response, 200, Map.of());
        } else {
            inFlight.incrementAndGet();
            try {
                serve(request, response, path);
            } finally {
                inFlight.decrementAndGet();
            }
        }
    }

    private void serve(ClassicHttpRequest request, ClassicHttpResponse response, String path)
            throws IOException, InterruptedException {
        long number = served.getAndIncrement();
        Behaviour b = behaviour;
        boolean faulty = b.appliesTo(StandinServer.header(request, "X-Route"), path, number, inFlight.get());
        TimeUnit.MILLISECONDS.sleep(options.delayMs() + (faulty ? b.extraMs() : 0));
        if (faulty && b.fails(number)) {
            StandinServer.error(response, 500, "failure on request");
        } else if (path.startsWith("/orders/place")) {
            place(request, response);
        } else if (path.startsWith("/stock/")) {
            String item = path.substring("/stock/".length());
            StandinServer.answer(
                    response,
                    200,
                    Map.of(
                            "item",
                            item,
                            "in_stock",
                            Math.floorMod(item.hashCode(), 100),
                            "version",
                            options.version()));
        } else {
            StandinServer.error(response, 404, "no such path: " + path);
        }
    }

    private void place(ClassicHttpRequest request, ClassicHttpResponse response) throws IOException {
        Fault f = faultsLeft.getAndUpdate(n -> Math.max(0, n - 1)) > 0 ? fault : Fault.NONE;
        if (f == Fault.CLOSE_BEFORE_RUN) {
            throw new IOException("closed before the run");
        }
        byte[] body = StandinServer.body(request);
        String dedupeKey =
                options.dedupeHeader().isEmpty() ? "" : StandinServer.header(request, options.dedupeHeader());
        Map<String, Object> receipt = dedupeKey.isEmpty()
                ? run(request, body)
                : byDedupeKey.computeIfAbsent(dedupeKey, k -> run(request, body));
        if (f == Fault.CLOSE_AFTER_RUN) {
            throw new IOException("closed after the run");
        }
        StandinServer.answer(response, 201, receipt);
    }

    private Map<String, Object> run(ClassicHttpRequest request, byte[] body) {
        String named = StandinServer.header(request, KEY_HEADER);
        // Agents send X-Request-Id with each request, even to services without deduplication.
        String key = named.isEmpty() ? StandinServer.header(request, "X-Request-Id") : named;
        runs.computeIfAbsent(key, k -> new AtomicInteger()).incrementAndGet();
        return Map.of("order", orders.incrementAndGet(), "key", key, "bytes", body.length);
    }
}
