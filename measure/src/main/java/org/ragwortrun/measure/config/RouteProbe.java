package org.ragwortrun.measure.config;

import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;

/** Asks one router, on a connection that it keeps, for the routes of the newest changes. */
final class RouteProbe implements Runnable {
    private static final long INTERVAL_MS = 20;
    private static final Duration TIMEOUT = Duration.ofSeconds(6);
    private static final long RECONNECT_MS = 100;
    private static final int MOST_ASKED = 12;
    private static final Set<Integer> DENIED = Set.of(401, 403, 404);

    private final HttpClient http = HttpClient.newBuilder()
            .version(HttpClient.Version.HTTP_1_1)
            .connectTimeout(TIMEOUT)
            .build();
    private final String name;
    private final String base;
    private final RouterRecord record;
    private final ChangeLog changes;
    private final BooleanSupplier running;
    private long requests;

    /**
     * Creates a probe.
     *
     * @param name name that no other probe has
     * @param base address of the router
     * @param running whether to go on
     */
    RouteProbe(String name, String base, RouterRecord record, ChangeLog changes, BooleanSupplier running) {
        this.name = name;
        this.base = base;
        this.record = record;
        this.changes = changes;
        this.running = running;
    }

    @Override
    public void run() {
        try {
            while (running.getAsBoolean()) {
                askAll();
                TimeUnit.MILLISECONDS.sleep(INTERVAL_MS);
            }
        } catch (InterruptedException e) {
            // The run ended early.
            Thread.currentThread().interrupt();
        }
    }

    /** Asks for each change that is not known to be in force, and for the newest one that has to be. */
    private void askAll() throws InterruptedException {
        List<Change> pending = record.pending();
        for (Change change : pending.subList(Math.max(0, pending.size() - MOST_ASKED), pending.size())) {
            ask(change);
        }
        Optional<Change> due = changes.newestBefore(System.nanoTime() - ConfigJudge.LIMIT_NANOS);
        if (due.isPresent() && !pending.contains(due.get())) {
            ask(due.get());
        }
    }

    private void ask(Change change) throws InterruptedException {
        long sent = System.nanoTime();
        try {
            HttpResponse<String> answer = http.send(request(change), HttpResponse.BodyHandlers.ofString());
            long answered = System.nanoTime();
            String reason = ProblemReason.of(answer.body());
            record.onAnswer(answer.statusCode() + "_" + reason);
            if (DENIED.contains(answer.statusCode())) {
                record.onDenied(new Denial(record.router(), change, sent, answered, answer.statusCode()));
            } else if (ProblemReason.knowsRoute(answer.body())) {
                record.onInForce(change, answered);
            }
        } catch (IOException e) {
            // The router is stopped, or was when the connection was used.
            record.onAnswer("none");
            TimeUnit.MILLISECONDS.sleep(RECONNECT_MS);
        }
    }

    private HttpRequest request(Change change) {
        requests++;
        return HttpRequest.newBuilder(URI.create(base + ChangeLog.path(change.number())))
                .timeout(TIMEOUT)
                .header("X-Request-Id", name + "-" + requests)
                .build();
    }
}
