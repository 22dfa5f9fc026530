package org.ragwortrun.measure.config;

import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;

/**
 * Asks one router for the route that the newest change has dropped, whether or not it answers.
 *
 * <p>Requests therefore wait in the sockets of a router that is suspended.
 */
final class DroppedRouteProbe implements Runnable {
    private static final long INTERVAL_MS = 100;
    private static final Duration TIMEOUT = Duration.ofSeconds(6);

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
    DroppedRouteProbe(String name, String base, RouterRecord record, ChangeLog changes, BooleanSupplier running) {
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
                changes.newestBefore(System.nanoTime() - ConfigJudge.LIMIT_NANOS)
                        .ifPresent(this::ask);
                TimeUnit.MILLISECONDS.sleep(INTERVAL_MS);
            }
        } catch (InterruptedException e) {
            // The run ended early.
            Thread.currentThread().interrupt();
        }
    }

    private void ask(Change change) {
        long sent = System.nanoTime();
        // A request without an answer shows nothing: the router was stopped, or suspended for too long.
        http.sendAsync(request(change), HttpResponse.BodyHandlers.ofString()).thenAccept(answer -> {
            boolean served = ProblemReason.knowsRoute(answer.body());
            record.onDroppedRouteAsked(new DroppedRoute(record.router(), change, sent, System.nanoTime(), served));
        });
    }

    private HttpRequest request(Change change) {
        requests++;
        return HttpRequest.newBuilder(URI.create(base + ChangeLog.droppedPath(change.number())))
                .timeout(TIMEOUT)
                .header("X-Request-Id", name + "-" + requests)
                .build();
    }
}
