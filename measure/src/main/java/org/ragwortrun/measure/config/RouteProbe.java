package org.ragwortrun.measure.config;

import java.io.IOException;
import java.net.http.HttpResponse;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;

/** Asks one router, on a connection that it keeps, for the routes of the newest changes. */
final class RouteProbe implements Runnable {
    private static final long INTERVAL_MS = 20;
    private static final long RECONNECT_MS = 100;
    private static final int MOST_ASKED = 12;
    private static final Set<Integer> DENIED = Set.of(401, 403, 404);

    private final ProbeClient client;
    private final RouterRecord record;
    private final ChangeLog changes;
    private final BooleanSupplier running;

    /**
     * Creates a probe.
     *
     * @param running whether to go on
     */
    RouteProbe(ProbeClient client, RouterRecord record, ChangeLog changes, BooleanSupplier running) {
        this.client = client;
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
            HttpResponse<String> answer = client.http()
                    .send(
                            client.request(ChangeLog.path(change.number())).build(),
                            HttpResponse.BodyHandlers.ofString());
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
}
