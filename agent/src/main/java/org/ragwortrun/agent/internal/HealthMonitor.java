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
import org.ragwortrun.core.concurrent.Duty;

/** Asks the endpoint for its health, and an engine for its load. */
final class HealthMonitor {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final byte[] NOTHING = new byte[0];
    private static final int FIRST_FAILURE = 500;
    // An engine's load lags anyway.
    private static final int LOAD_ROUNDS = 2;
    private static final long ANSWER_MS = 2_000;

    private final HttpEndpoint endpoint;
    private final ScheduledExecutorService timer;
    private final BooleanSupplier isEngine;
    private final TaskRing duty;
    private final Consumer<Boolean> health;
    private final Consumer<EndpointLoad> load;
    private final AtomicLong round = new AtomicLong();
    private long decided;
    private long waitingRound;
    private long waitingSince;

    HealthMonitor(
            HttpEndpoint endpoint,
            ScheduledExecutorService timer,
            BooleanSupplier isEngine,
            TaskRing duty,
            Consumer<Boolean> health,
            Consumer<EndpointLoad> load) {
        this.endpoint = endpoint;
        this.timer = timer;
        this.isEngine = isEngine;
        this.duty = duty;
        this.health = health;
        this.load = load;
    }

    void start(long intervalMs) {
        Duty.repeat(timer, this::ask, 0, intervalMs);
    }

    /** Checks now. */
    void ask() {
        giveUpOldRound();
        long own = startRound();
        endpoint.ask("GET", "/health", NOTHING).thenAccept(reply -> {
            decide(own, reply.status() > 0 && reply.status() < FIRST_FAILURE);
        });
        if (own % LOAD_ROUNDS == 0 && isEngine.getAsBoolean()) {
            endpoint.ask("GET", "/v1/load", NOTHING).thenAccept(this::onLoad);
        }
    }

    private synchronized long startRound() {
        long own = round.incrementAndGet();
        if (waitingRound <= decided) {
            waitingRound = own;
            waitingSince = System.nanoTime();
        }
        return own;
    }

    /** A check that is not answered in time counts as failed. */
    private synchronized void giveUpOldRound() {
        boolean late = System.nanoTime() - waitingSince > TimeUnit.MILLISECONDS.toNanos(ANSWER_MS);
        if (waitingRound > decided && late) {
            decide(waitingRound, false);
        }
    }

    /** Takes the first verdict of each round, and none that is older than one already taken. */
    private synchronized void decide(long own, boolean answers) {
        if (own > decided) {
            decided = own;
            duty.offer(() -> health.accept(answers));
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
            duty.offer(() -> load.accept(read));
        } catch (JsonProcessingException e) {
            // An endpoint without a readable load is served by the agent's own counts.
        }
    }
}
