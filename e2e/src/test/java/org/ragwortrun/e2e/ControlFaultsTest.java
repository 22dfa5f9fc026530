package org.ragwortrun.e2e;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.MethodOrderer;
import org.junit.jupiter.api.Order;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.TestMethodOrder;
import org.ragwortrun.measure.fleet.CommandResult;
import org.ragwortrun.measure.fleet.FleetException;
import org.ragwortrun.measure.fleet.Response;
import org.ragwortrun.measure.fleet.SmallFleet;

/** Tests publishing and the control members under failures. All tests share one fleet and run in order. */
@TestMethodOrder(MethodOrderer.OrderAnnotation.class)
final class ControlFaultsTest {
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

    /** Guards against two concurrent publishes that are both reported as successful. */
    @Test
    @Order(1)
    void acceptsOnlyOneOfTwoConcurrentPublishes() throws Exception {
        String folder = fleet.fleet.writeFiles(SmallFleet.files("")).toString();
        String number = Long.toString(configurationNumber());
        List<CompletableFuture<Integer>> exits = List.of("first", "second").stream()
                .map(id -> CompletableFuture.supplyAsync(
                        () -> publish(folder, number, id).exit()))
                .toList();
        List<Integer> codes =
                List.of(exits.get(0).get(60, TimeUnit.SECONDS), exits.get(1).get(60, TimeUnit.SECONDS));
        assertThat(codes).containsExactly(0, 1);
        assertThat(configurationNumber()).isEqualTo(Long.parseLong(number) + 1);
    }

    /** Guards against a resent publish, as after a lost reply, that is applied twice or rejected as a conflict. */
    @Test
    @Order(2)
    void appliesResentPublishOnce() throws Exception {
        String folder = fleet.fleet.writeFiles(SmallFleet.files("")).toString();
        String number = Long.toString(configurationNumber());
        CommandResult first = publish(folder, number, "resent");
        CommandResult second = publish(folder, number, "resent");
        assertWithMessage(first.output()).that(first.exit()).isEqualTo(0);
        assertWithMessage(second.output()).that(second.exit()).isEqualTo(0);
        assertThat(configurationNumber()).isEqualTo(Long.parseLong(number) + 1);
    }

    /** Guards against a frozen leader that continues to act as leader after it is unfrozen. */
    @Test
    @Order(3)
    void replacesFrozenLeader() throws Exception {
        String frozen = leader(0);
        fleet.fleet.process(frozen).setSuspended(true);
        try {
            fleet.fleet.await(
                    "another leader",
                    () -> !leader(0).equals(frozen) && !leader(0).isEmpty());
            fleet.fleet.await("a successful order under the new leaders", () -> {
                Response answer = fleet.placeOrder("r2", ProxiedFleet.timestampedId("frozen" + System.nanoTime()));
                if (answer.status() != 201) {
                    // Until the router knows the new leaders, it may only reject orders that did not run.
                    assertThat(ProxiedFleet.json(answer.body()).path("run").asText())
                            .isEqualTo("not run");
                }
                return answer.status() == 201;
            });
            assertThat(fleet.orderRuns().size()).isEqualTo(1);
        } finally {
            fleet.fleet.process(frozen).setSuspended(false);
        }
        String folder = fleet.fleet.writeFiles(SmallFleet.files("")).toString();
        CommandResult published = publish(folder, Long.toString(configurationNumber()), "thawed");
        assertWithMessage(published.output()).that(published.exit()).isEqualTo(0);
    }

    /**
     * Guards against data loss when a second member fails after a wiped member was repaired. Data is lost if the wiped
     * member counts towards a quorum before it has caught up.
     */
    @Test
    @Order(4)
    void keepsAllDataWhenSecondMemberIsLostAfterRepair() throws Exception {
        long before = configurationNumber();
        long settled = fleet.budget("orders").path("settled").asLong();
        String lost = voterIdentity(0, "c3");
        fleet.fleet.process("c3").kill();
        fleet.fleet.deleteData("c3");
        fleet.fleet.process("c3").start();
        for (int group = 0; group <= ProxiedFleet.SHARDS; group++) {
            int repaired = group;
            fleet.fleet.await("the repair of group " + group, () -> {
                String now = voterIdentity(repaired, "c3");
                return voters(repaired).size() == 3 && !now.isEmpty() && !now.equals(lost);
            });
        }
        fleet.fleet.process("c1").kill();
        fleet.fleet.await(
                "a leader of each group",
                () -> !leader(0).isEmpty() && !leader(1).isEmpty());
        assertThat(configurationNumber()).isEqualTo(before);
        fleet.fleet.await(
                "the budget", () -> fleet.budget("orders").path("settled").asLong() == settled);
        fleet.fleet.process("c1").start();
        fleet.fleet.await(
                "orders",
                () -> fleet.placeOrder("r1", ProxiedFleet.timestampedId("after" + System.nanoTime()))
                                .status()
                        == 201);
    }

    private static CommandResult publish(String folder, String basedOn, String publishId) {
        try {
            return fleet.command("publish", folder, "--based-on", basedOn, "--publish-id", publishId, "--wait", "20s");
        } catch (FleetException e) {
            throw new AssertionError(e);
        }
    }

    private static JsonNode status() throws FleetException {
        CommandResult status = fleet.command("status", "--json");
        return status.exit() == 0 ? ProxiedFleet.json(status.output()) : ProxiedFleet.json("{}");
    }

    private static long configurationNumber() throws FleetException {
        return status().path("number").asLong();
    }

    private static String leader(int group) throws FleetException {
        for (JsonNode g : status().path("groups")) {
            if (g.path("group").asInt() == group) {
                return g.path("leader").asText();
            }
        }
        return "";
    }

    private static List<String> voters(int group) throws FleetException {
        List<String> voters = new ArrayList<>();
        for (JsonNode g : status().path("groups")) {
            if (g.path("group").asInt() == group) {
                g.path("voters").forEach(v -> voters.add(v.asText()));
            }
        }
        return voters;
    }

    private static String voterIdentity(int group, String member) throws FleetException {
        return voters(group).stream()
                .filter(v -> v.startsWith(member + "@"))
                .findFirst()
                .orElse("");
    }
}
