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
import org.ragwortrun.measure.fleet.Answer;
import org.ragwortrun.measure.fleet.FleetException;
import org.ragwortrun.measure.fleet.SmallFleet;
import org.ragwortrun.standins.ExpectedAnswer;

/** Requests of callers while routers and agents die and links are cut. One fleet serves all tests in order. */
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

    /** Guards against a retry that runs or bills a request again after its router died. */
    @Test
    @Order(1)
    void attachesARetryAfterItsRouterDied() throws Exception {
        String prompt = "long question [len=400]";
        String id = ProxiedFleet.id("stream");
        long billsBefore = fleet.budget("assistant").path("bills").asLong();
        CompletableFuture<Answer> first = CompletableFuture.supplyAsync(() -> chat("r2", prompt, id));
        fleet.fleet.await("the request to run", () -> runs(prompt) == 1);
        fleet.fleet.process("r2").kill();
        assertThat(first.get(30, TimeUnit.SECONDS).status()).isAnyOf(0, 200);

        Answer retry = chat("r1", prompt, id);
        assertWithMessage(retry.body()).that(retry.status()).isEqualTo(200);
        JsonNode answer = ProxiedFleet.json(retry.body());
        String text =
                answer.path("choices").path(0).path("message").path("content").asText();
        assertThat(text.strip()).isEqualTo(ExpectedAnswer.to(prompt).text().strip());
        assertThat(runs(prompt)).isEqualTo(1);
        fleet.fleet.process("r2").start();
        fleet.fleet.awaitReady("r2");
        fleet.fleet.await(
                "the bill", () -> fleet.budget("assistant").path("bills").asLong() == billsBefore + 1);
    }

    /** Guards against tokens of a dead router that stay held although its incarnation has been fenced. */
    @Test
    @Order(2)
    void returnsTheGrantsOfADeadRouter() throws Exception {
        fleet.fleet.process("r2").kill();
        fleet.fleet.process("r2").start();
        fleet.fleet.awaitReady("r2");
        fleet.fleet.await("closed grants to return", () -> {
            for (JsonNode holding : fleet.budget("assistant").path("holdings")) {
                if (holding.path("closing").asBoolean()) {
                    return false;
                }
            }
            return true;
        });
    }

    /** Guards against an order that runs again, or is said not to have run, after its agent died with it. */
    @Test
    @Order(3)
    void saysUnknownForAnOrderWhoseAgentDied() throws Exception {
        String id = ProxiedFleet.id("lost");
        CompletableFuture<Answer> first = CompletableFuture.supplyAsync(() -> order("r1", id));
        fleet.fleet.await("the order to be at the service", RequestFaultsTest::inFlight);
        fleet.fleet.process("s1").kill();
        Answer answer = first.get(30, TimeUnit.SECONDS);
        assertWithMessage(answer.body()).that(run(answer)).isEqualTo("unknown");
        fleet.fleet.process("s1").start();
        for (String router : new String[] {"r2", "r1", "r2"}) {
            Answer again = order(router, id);
            assertWithMessage(again.body()).that(run(again)).isEqualTo("unknown");
        }
        assertThat(fleet.runs().getOrDefault(id, 0)).isAtMost(1);
        fleet.fleet.await(
                "orders to work again",
                () -> order("r1", ProxiedFleet.id("next" + System.nanoTime())).status() == 201);
    }

    /** Guards against a cut-off host that serves an old configuration, and against a top-up that counts twice or never. */
    @Test
    @Order(4)
    void countsATopUpOnceThroughAPartition() throws Exception {
        fleet.cutRouter();
        String files = SmallFleet.files("").replace("topup.first = 1000\n", "topup.first = 1000\ntopup.second = 500\n");
        assertThat(SmallFleet.publish(fleet.fleet, files).exit()).isEqualTo(0);
        Answer cutOff = order("r1", ProxiedFleet.id("cut"));
        assertThat(cutOff.status()).isEqualTo(503);
        assertThat(run(cutOff)).isEqualTo("not run");
        assertThat(cutOff.header("Retry-After")).isNotEmpty();
        fleet.fleet.await(
                "the top-up", () -> fleet.budget("orders").path("prepaid").asLong() == 1500);
        fleet.healRouter();
        fleet.fleet.awaitReady("r1");
        assertThat(order("r1", ProxiedFleet.id("healed")).status()).isEqualTo(201);
        assertThat(SmallFleet.publish(fleet.fleet, files).exit()).isAnyOf(0, 1);
        assertThat(fleet.budget("orders").path("prepaid").asLong()).isEqualTo(1500);
    }

    private static Answer chat(String router, String prompt, String id) {
        try {
            return fleet.dealer.chat(fleet.fleet.url(router), SmallFleet.MODEL, prompt, 400, false, id);
        } catch (FleetException e) {
            throw new AssertionError(e);
        }
    }

    private static Answer order(String router, String id) {
        try {
            return fleet.order(router, id);
        } catch (FleetException e) {
            throw new AssertionError(e);
        }
    }

    private static String run(Answer answer) throws FleetException {
        return ProxiedFleet.json(answer.body()).path("run").asText();
    }

    /** Returns whether a request is at the service, which waits two seconds before it runs an order. */
    private static boolean inFlight() throws FleetException {
        String url = fleet.fleet.endpointUrl("s1") + "/standin/in-flight";
        return ProxiedFleet.json(fleet.dealer.get(url).body()).path("requests").asInt() > 0;
    }

    /** Returns how often engines began the prompt from its start. */
    private static long runs(String prompt) throws FleetException {
        long runs = 0;
        for (String engine : new String[] {"m1", "m2"}) {
            JsonNode record = ProxiedFleet.json(fleet.dealer
                    .get(fleet.fleet.endpointUrl(engine) + "/standin/record")
                    .body());
            for (JsonNode run : record) {
                boolean same = run.path("prompt_tokens").asInt() == ExpectedAnswer.promptTokens(prompt)
                        && run.path("id").asText().contains("stream");
                runs += same ? 1 : 0;
            }
        }
        return runs;
    }
}
