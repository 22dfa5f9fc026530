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
import org.ragwortrun.measure.fleet.Answer;
import org.ragwortrun.measure.fleet.CommandResult;
import org.ragwortrun.measure.fleet.FleetException;
import org.ragwortrun.measure.fleet.SmallFleet;

/** Operators and control members under failure. One fleet serves all tests in order. */
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

    /** Guards against two operators who both believe that their files are in force. */
    @Test
    @Order(1)
    void letsOneOfTwoRacingPublishesWin() throws Exception {
        String folder = fleet.fleet.writeFiles(SmallFleet.files("")).toString();
        String number = Long.toString(number());
        List<CompletableFuture<Integer>> exits = List.of("first", "second").stream()
                .map(id -> CompletableFuture.supplyAsync(
                        () -> publish(folder, number, id).exit()))
                .toList();
        List<Integer> codes =
                List.of(exits.get(0).get(60, TimeUnit.SECONDS), exits.get(1).get(60, TimeUnit.SECONDS));
        assertThat(codes).containsExactly(0, 1);
        assertThat(number()).isEqualTo(Long.parseLong(number) + 1);
    }

    /** Guards against a resend after a lost answer that is taken for a second change or a conflict. */
    @Test
    @Order(2)
    void answersAResentPublishAsTheFirst() throws Exception {
        String folder = fleet.fleet.writeFiles(SmallFleet.files("")).toString();
        String number = Long.toString(number());
        CommandResult first = publish(folder, number, "resent");
        CommandResult second = publish(folder, number, "resent");
        assertWithMessage(first.output()).that(first.exit()).isEqualTo(0);
        assertWithMessage(second.output()).that(second.exit()).isEqualTo(0);
        assertThat(number()).isEqualTo(Long.parseLong(number) + 1);
    }

    /** Guards against a frozen leader that goes on giving orders after it is thawed. */
    @Test
    @Order(3)
    void replacesAFrozenLeader() throws Exception {
        String frozen = leader(0);
        fleet.fleet.process(frozen).freeze(true);
        try {
            fleet.fleet.await(
                    "another leader",
                    () -> !leader(0).equals(frozen) && !leader(0).isEmpty());
            fleet.fleet.await("an order through the new leaders", () -> {
                Answer answer = fleet.order("r2", ProxiedFleet.id("frozen" + System.nanoTime()));
                if (answer.status() != 201) {
                    // A refusal before the new leaders are known must be one that truly did not run.
                    assertThat(ProxiedFleet.json(answer.body()).path("run").asText())
                            .isEqualTo("not run");
                }
                return answer.status() == 201;
            });
            assertThat(fleet.runs().size()).isEqualTo(1);
        } finally {
            fleet.fleet.process(frozen).freeze(false);
        }
        String folder = fleet.fleet.writeFiles(SmallFleet.files("")).toString();
        CommandResult published = publish(folder, Long.toString(number()), "thawed");
        assertWithMessage(published.output()).that(published.exit()).isEqualTo(0);
    }

    /** Guards against a wiped member that counts in a quorum before it has everything, so that a second loss forgets. */
    @Test
    @Order(4)
    void keepsEverythingWhenASecondMemberIsLostAfterARepair() throws Exception {
        long before = number();
        long settled = fleet.budget("orders").path("settled").asLong();
        String lost = identity(0, "c3");
        fleet.fleet.process("c3").kill();
        fleet.fleet.wipe("c3");
        fleet.fleet.process("c3").start();
        for (int group = 0; group <= ProxiedFleet.SHARDS; group++) {
            int repaired = group;
            fleet.fleet.await("the repair of group " + group, () -> {
                String now = identity(repaired, "c3");
                return voters(repaired).size() == 3 && !now.isEmpty() && !now.equals(lost);
            });
        }
        fleet.fleet.process("c1").kill();
        fleet.fleet.await(
                "a leader of each group",
                () -> !leader(0).isEmpty() && !leader(1).isEmpty());
        assertThat(number()).isEqualTo(before);
        fleet.fleet.await(
                "the budget", () -> fleet.budget("orders").path("settled").asLong() == settled);
        fleet.fleet.process("c1").start();
        fleet.fleet.await(
                "orders",
                () -> fleet.order("r1", ProxiedFleet.id("after" + System.nanoTime()))
                                .status()
                        == 201);
    }

    private static CommandResult publish(String folder, String basedOn, String id) {
        try {
            return fleet.command("publish", folder, "--based-on", basedOn, "--publish-id", id, "--wait", "20s");
        } catch (FleetException e) {
            throw new AssertionError(e);
        }
    }

    private static JsonNode status() throws FleetException {
        CommandResult status = fleet.command("status", "--json");
        return status.exit() == 0 ? ProxiedFleet.json(status.output()) : ProxiedFleet.json("{}");
    }

    private static long number() throws FleetException {
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

    private static String identity(int group, String member) throws FleetException {
        return voters(group).stream()
                .filter(v -> v.startsWith(member + "@"))
                .findFirst()
                .orElse("");
    }
}
