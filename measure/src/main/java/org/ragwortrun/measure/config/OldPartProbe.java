package org.ragwortrun.measure.config;

import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.stream.IntStream;

/**
 * Asks one router for what the newest change due has dropped or moved, whether or not it answers.
 *
 * <p>Requests therefore wait in the sockets of a router that is suspended.
 */
final class OldPartProbe implements Runnable {
    private static final long INTERVAL_MS = 100;
    private static final int OK = 200;

    private final ProbeClient client;
    private final RouterRecord record;
    private final ChangeLog changes;
    private final BooleanSupplier running;

    /**
     * Creates a probe.
     *
     * @param running whether to go on
     */
    OldPartProbe(ProbeClient client, RouterRecord record, ChangeLog changes, BooleanSupplier running) {
        this.client = client;
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
        for (OldPart part : OldPart.values()) {
            long sent = System.nanoTime();
            // A request without an answer shows nothing: the router was stopped, or suspended for too long.
            client.http()
                    .sendAsync(request(part, change.number() - 1), HttpResponse.BodyHandlers.ofString())
                    .thenAccept(answer -> record.onOldPartAsked(new OldPartAnswer(
                            record.router(), part, change, sent, System.nanoTime(), follows(part, change, answer))));
        }
    }

    /** Returns whether an answer shows a configuration before a change. */
    private boolean follows(OldPart part, Change change, HttpResponse<String> answer) {
        return switch (part) {
            case ROUTE, KEY -> ProblemReason.knowsRoute(answer.body());
            case ORIGIN ->
                answer.statusCode() == OK
                        && IntStream.rangeClosed(change.number(), changes.newestSent())
                                .mapToObj(n -> Integer.toString(n % OriginServers.COUNT))
                                .noneMatch(answer.body()::equals);
        };
    }

    private HttpRequest request(OldPart part, int older) {
        String path =
                switch (part) {
                    case ROUTE -> ChangeLog.onlyPath(older);
                    case KEY -> ChangeLog.KEY_PATH;
                    case ORIGIN -> ChangeLog.MOVED_PATH;
                };
        return client.request(path)
                .header("Authorization", "Bearer " + ChangeLog.onlyKey(older))
                .build();
    }
}
