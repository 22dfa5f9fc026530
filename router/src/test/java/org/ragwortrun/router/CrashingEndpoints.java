package org.ragwortrun.router;

import java.io.IOException;
import java.io.OutputStream;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Predicate;

/** Two routers and endpoints that crash on some requests and are back under other ids after a time. */
final class CrashingEndpoints implements AutoCloseable {
    private static final Duration DOWN = Duration.ofSeconds(1);

    final ForwardHarness harness = new ForwardHarness();
    final List<ForwardHarness.Router> routers = new ArrayList<>();
    private final ScheduledExecutorService restarts = Executors.newSingleThreadScheduledExecutor();
    private final AtomicInteger crashes = new AtomicInteger();
    private final Predicate<String> crashing;
    private final ScriptedEndpoint.Script otherwise;

    /**
     * Starts the endpoints and the routers.
     *
     * @param crashing returns whether a request crashes its endpoint
     * @param otherwise answers the other requests
     */
    CrashingEndpoints(int endpoints, Predicate<String> crashing, ScriptedEndpoint.Script otherwise) throws Exception {
        this.crashing = crashing;
        this.otherwise = otherwise;
        for (int i = 0; i < endpoints; i++) {
            addEndpoint("e" + i);
        }
        routers.add(harness.startRouter("r1"));
        routers.add(harness.startRouter("r2"));
    }

    private void addEndpoint(String id) throws IOException {
        ScriptedEndpoint[] self = new ScriptedEndpoint[1];
        self[0] = harness.addEndpoint(id, (request, out) -> answer(self[0], id, request, out));
    }

    private boolean answer(ScriptedEndpoint endpoint, String id, String request, OutputStream out)
            throws IOException, InterruptedException {
        if (!crashing.test(request)) {
            return otherwise.answer(request, out);
        }
        String nextId = id + "-" + crashes.incrementAndGet();
        endpoint.crash();
        restarts.schedule(
                () -> {
                    endpoint.restart(nextId);
                    return null;
                },
                DOWN.toMillis(),
                TimeUnit.MILLISECONDS);
        return false;
    }

    int crashes() {
        return crashes.get();
    }

    ForwardHarness.Router router(int turn) {
        return routers.get(turn % routers.size());
    }

    @Override
    public void close() {
        harness.close();
        restarts.shutdownNow();
    }
}
