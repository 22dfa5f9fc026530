package org.ragwortrun.agent.internal;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import org.ragwortrun.agent.AdmissionGate.EndpointLoad;
import org.ragwortrun.core.concurrent.SingleThreadExecutor;

/** Polls the health of the endpoint and, for an engine, its load. */
final class HealthMonitor {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final byte[] EMPTY_BODY = new byte[0];
    private static final int FIRST_SERVER_ERROR = 500;
    // The load that an engine reports lags anyway, so it is queried less often than the health.
    private static final int ROUNDS_PER_LOAD_QUERY = 2;
    private static final long TIMEOUT_MS = 2_000;

    private final HttpEndpoint endpoint;
    private final ScheduledExecutorService timer;
    private final BooleanSupplier isEngine;
    private final TaskQueue executor;
    private final Consumer<Boolean> health;
    private final Consumer<EndpointLoad> load;
    private final AtomicLong round = new AtomicLong();
    private long lastDecidedRound;
    private long pendingRound;
    private long pendingSinceNanos;

    HealthMonitor(
            HttpEndpoint endpoint,
            ScheduledExecutorService timer,
            BooleanSupplier isEngine,
            TaskQueue executor,
            Consumer<Boolean> health,
            Consumer<EndpointLoad> load) {
        this.endpoint = endpoint;
        this.timer = timer;
        this.isEngine = isEngine;
        this.executor = executor;
        this.health = health;
        this.load = load;
    }

    void start(long intervalMs) {
        SingleThreadExecutor.repeat(timer, this::check, 0, intervalMs);
    }

    /** Starts a health check immediately. */
    void check() {
        failOverdueRound();
        long own = startRound();
        endpoint.call("GET", "/health", EMPTY_BODY).thenAccept(reply -> {
            recordResult(own, reply.status() > 0 && reply.status() < FIRST_SERVER_ERROR);
        });
        if (own % ROUNDS_PER_LOAD_QUERY == 0 && isEngine.getAsBoolean()) {
            endpoint.call("GET", "/v1/load", EMPTY_BODY).thenAccept(this::onLoad);
        }
    }

    private synchronized long startRound() {
        long own = round.incrementAndGet();
        if (pendingRound <= lastDecidedRound) {
            pendingRound = own;
            pendingSinceNanos = System.nanoTime();
        }
        return own;
    }

    /** Counts a check without an answer within the timeout as failed. */
    private synchronized void failOverdueRound() {
        boolean late = System.nanoTime() - pendingSinceNanos > TimeUnit.MILLISECONDS.toNanos(TIMEOUT_MS);
        if (pendingRound > lastDecidedRound && late) {
            recordResult(pendingRound, false);
        }
    }

    /** Reports a result unless this round or a later one already has a result. */
    private synchronized void recordResult(long own, boolean answers) {
        if (own > lastDecidedRound) {
            lastDecidedRound = own;
            executor.offer(() -> health.accept(answers));
        }
    }

    private void onLoad(HttpEndpoint.Reply reply) {
        if (reply.status() != 200) {
            return;
        }
        try {
            JsonNode json = JSON.readTree(reply.body());
            EndpointLoad read = new EndpointLoad(
                    json.path("running").asInt(),
                    json.path("waiting").asInt(),
                    json.path("kv_used_tokens").asLong(),
                    json.path("kv_capacity_tokens").asLong(),
                    json.path("preemptions").asLong());
            executor.offer(() -> load.accept(read));
        } catch (JsonProcessingException e) {
            // Without a readable load, the agent uses its own counts.
        }
    }
}
