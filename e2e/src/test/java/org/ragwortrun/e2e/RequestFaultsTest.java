package org.ragwortrun.e2e;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.MethodOrderer;
import org.junit.jupiter.api.Order;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.TestMethodOrder;
import org.ragwortrun.measure.fleet.FleetException;
import org.ragwortrun.measure.fleet.Response;
import org.ragwortrun.measure.fleet.SmallFleet;
import org.ragwortrun.standins.ExpectedAnswer;

/**
 * Tests requests during crashes of routers and agents and during network partitions. All tests share one fleet and run
 * in order.
 */
@TestMethodOrder(MethodOrderer.OrderAnnotation.class)
final class RequestFaultsTest {
    private static ProxiedFleet fleet;

    @BeforeAll
    static void start() throws Exception {
        fleet = new ProxiedFleet();
        fleet.start();
    }

    @AfterAll
    static void stop() {
        fleet.close();
    }

    /** Guards against a retry that runs or bills a request a second time after its router crashed. */
    @Test
    @Order(1)
    void attachesRetryToRequestAfterRouterCrash() throws Exception {
        String prompt = "long question [len=400]";
        String id = ProxiedFleet.timestampedId("stream");
        long billsBefore = fleet.budget("assistant").path("bills").asLong();
        CompletableFuture<Response> first = CompletableFuture.supplyAsync(() -> chat("r2", prompt, id));
        fleet.fleet.await("the request to run", () -> engineRuns(prompt) == 1);
        fleet.fleet.process("r2").kill();
        assertThat(first.get(30, TimeUnit.SECONDS).status()).isAnyOf(0, 200);

        Response retry = chat("r1", prompt, id);
        assertWithMessage(retry.body()).that(retry.status()).isEqualTo(200);
        JsonNode answer = ProxiedFleet.json(retry.body());
        String text =
                answer.path("choices").path(0).path("message").path("content").asText();
        assertThat(text.strip()).isEqualTo(ExpectedAnswer.to(prompt).text().strip());
        assertThat(engineRuns(prompt)).isEqualTo(1);
        fleet.fleet.process("r2").start();
        fleet.fleet.awaitReady("r2");
        fleet.fleet.await(
                "the bill", () -> fleet.budget("assistant").path("bills").asLong() == billsBefore + 1);
    }

    /** Guards against grants of a crashed router that are not returned although its incarnation has been fenced. */
    @Test
    @Order(2)
    void returnsGrantsOfCrashedRouter() throws Exception {
        fleet.fleet.process("r2").kill();
        fleet.fleet.process("r2").start();
        fleet.fleet.awaitReady("r2");
        fleet.fleet.await("the return of the grants of the crashed router", () -> {
            for (JsonNode holding : fleet.budget("assistant").path("holdings")) {
                if (holding.path("closing").asBoolean()) {
                    return false;
                }
            }
            return true;
        });
    }

    /** Guards against an order that runs twice, or is reported as not run, when its agent crashes during the order. */
    @Test
    @Order(3)
    void reportsUnknownOutcomeAfterAgentCrash() throws Exception {
        String id = ProxiedFleet.timestampedId("lost");
        CompletableFuture<Response> first = CompletableFuture.supplyAsync(() -> placeOrder("r1", id));
        fleet.fleet.await("the order to reach the service", RequestFaultsTest::hasRequestInFlight);
        fleet.fleet.process("s1").kill();
        Response answer = first.get(30, TimeUnit.SECONDS);
        assertWithMessage(answer.body()).that(runOutcome(answer)).isEqualTo("unknown");
        fleet.fleet.process("s1").start();
        for (String router : new String[] {"r2", "r1", "r2"}) {
            Response again = placeOrder(router, id);
            assertWithMessage(again.body()).that(runOutcome(again)).isEqualTo("unknown");
        }
        assertThat(fleet.orderRuns().getOrDefault(id, 0)).isAtMost(1);
        fleet.fleet.await(
                "orders to work again",
                () -> placeOrder("r1", ProxiedFleet.timestampedId("next" + System.nanoTime()))
                                .status()
                        == 201);
    }

    /**
     * Guards against a partitioned router that serves an outdated configuration, and against a top-up that is counted
     * twice or not at all.
     */
    @Test
    @Order(4)
    void countsTopUpOnceDuringPartition() throws Exception {
        fleet.partitionRouter();
        String files = SmallFleet.files("").replace("topup.first = 1000\n", "topup.first = 1000\ntopup.second = 500\n");
        assertThat(SmallFleet.publish(fleet.fleet, files).exit()).isEqualTo(0);
        Response rejected = placeOrder("r1", ProxiedFleet.timestampedId("cut"));
        assertThat(rejected.status()).isEqualTo(503);
        assertThat(runOutcome(rejected)).isEqualTo("not run");
        assertThat(rejected.header("Retry-After")).isNotEmpty();
        fleet.fleet.await(
                "the top-up", () -> fleet.budget("orders").path("prepaid").asLong() == 1500);
        fleet.healRouter();
        fleet.fleet.awaitReady("r1");
        assertThat(placeOrder("r1", ProxiedFleet.timestampedId("healed")).status())
                .isEqualTo(201);
        assertThat(SmallFleet.publish(fleet.fleet, files).exit()).isAnyOf(0, 1);
        assertThat(fleet.budget("orders").path("prepaid").asLong()).isEqualTo(1500);
    }

    private static Response chat(String router, String prompt, String id) {
        try {
            return fleet.dealer.chat(fleet.fleet.url(router), SmallFleet.MODEL, prompt, 400, false, id);
        } catch (FleetException e) {
            throw new AssertionError(e);
        }
    }

    private static Response placeOrder(String router, String id) {
        try {
            return fleet.placeOrder(router, id);
        } catch (FleetException e) {
            throw new AssertionError(e);
        }
    }

    private static String runOutcome(Response answer) throws FleetException {
        return ProxiedFleet.json(answer.body()).path("run").asText();
    }

    /** Returns whether the service holds a request; it waits two seconds before it runs an order. */
    private static boolean hasRequestInFlight() throws FleetException {
        String url = fleet.fleet.endpointUrl("s1") + "/standin/in-flight";
        return ProxiedFleet.json(fleet.dealer.get(url).body()).path("requests").asInt() > 0;
    }

    /** Returns how many times the engines ran the prompt from its start; resumed runs have more prompt tokens. */
    private static long engineRuns(String prompt) throws FleetException {
        long runs = 0;
        for (String engine : new String[] {"m1", "m2"}) {
            JsonNode record = ProxiedFleet.json(fleet.dealer
                    .get(fleet.fleet.endpointUrl(engine) + "/standin/record")
                    .body());
            for (JsonNode run : record) {
                boolean matches = run.path("prompt_tokens").asInt() == ExpectedAnswer.promptTokens(prompt)
                        && run.path("id").asText().contains("stream");
                runs += matches ? 1 : 0;
            }
        }
        return runs;
    }
}
