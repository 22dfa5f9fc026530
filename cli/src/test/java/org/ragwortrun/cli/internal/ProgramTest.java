package org.ragwortrun.cli.internal;

import static com.google.common.truth.Truth.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.google.common.collect.Range;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Instant;
import java.util.Arrays;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.MethodOrderer;
import org.junit.jupiter.api.Order;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.TestMethodOrder;
import org.junit.jupiter.api.io.TempDir;
import org.ragwortrun.control.ControlDaemon;
import org.ragwortrun.core.settings.Settings;
import org.ragwortrun.standins.FreePorts;

/** Runs the commands against one control member on loopback. Each test relies on the state that earlier tests left. */
@TestMethodOrder(MethodOrderer.OrderAnnotation.class)
final class ProgramTest {
    private static final ObjectMapper JSON = new ObjectMapper();

    @TempDir
    static Path data;

    private static String address;
    private static ControlDaemon daemon;

    @TempDir
    Path folder;

    private final ByteArrayOutputStream out = new ByteArrayOutputStream();
    private final ByteArrayOutputStream err = new ByteArrayOutputStream();

    @BeforeAll
    static void startControl() throws Exception {
        address = "127.0.0.1:" + FreePorts.next();
        daemon = ControlDaemon.start(Settings.of(Map.of(
                "daemon.name", "c1",
                "daemon.data-center", "a",
                "control.members", "c1=" + address,
                "control.listen", address,
                "control.config-lease", "500ms",
                "storage.folder", data.toString(),
                "cluster.shards", "2",
                "cluster.bootstrap", "c1",
                "cluster.election-timeout", "200ms")));
    }

    @AfterAll
    static void stopControl() {
        daemon.close();
    }

    @BeforeEach
    void writeFiles() throws IOException {
        write("topup.1 = 5_000");
    }

    /** Guards against usage errors that exit with code 0, which scripts would take for success. */
    @Test
    @Order(1)
    void returnsUsageExitCodeForInvalidArguments() {
        assertThat(run()).isEqualTo(2);
        assertThat(run("publsh")).isEqualTo(2);
        assertThat(run("check")).isEqualTo(2);
        assertThat(run("check", "--colour", folder.toString())).isEqualTo(2);
        assertThat(run("check", folder.resolve("none").toString())).isEqualTo(2);
        assertThat(run("status")).isEqualTo(2);
        assertThat(run("status", "--control", "localhost")).isEqualTo(2);
        assertThat(run("publish", folder.toString(), "--control", address, "--based-on", "x"))
                .isEqualTo(2);
        assertThat(run("control")).isEqualTo(2);
        assertThat(run("--help")).isEqualTo(0);
        assertThat(run("publish", "--help")).isEqualTo(0);
    }

    @Test
    @Order(2)
    void returnsUnreachableExitCodeWithoutControl() {
        assertThat(run("status", "--control", "127.0.0.1:1", "--timeout", "200ms"))
                .isEqualTo(4);
        assertThat(err.toString(StandardCharsets.UTF_8)).contains("control not reachable");
    }

    /** Guards against publishing invalid files, and against errors without file and line. */
    @Test
    @Order(3)
    void rejectsInvalidFilesWithLocation() throws IOException {
        write("topup.1 = -5");
        assertThat(run("check", folder.toString())).isEqualTo(3);
        assertThat(err.toString(StandardCharsets.UTF_8))
                .isEqualTo("all.ini:15: [budget a/s] topup.1: whole-number: expected a whole number from 0 to"
                        + " 9223372036854775807\n1 error; nothing was changed\n");
        assertThat(run("publish", folder.toString(), "--control", address)).isEqualTo(3);
        assertThat(json("status").get("number").asLong()).isEqualTo(0);
    }

    @Test
    @Order(4)
    void publishesAndReadsConfiguration() throws Exception {
        assertThat(json("diff", folder.toString()).get("differences").size()).isEqualTo(5);
        JsonNode published = json("publish", folder.toString(), "--publish-id", "first");
        assertThat(published.get("outcome").asText()).isEqualTo("accepted");
        assertThat(published.get("number").asLong()).isEqualTo(1);
        assertThat(published.get("inForce").asBoolean()).isTrue();
        awaitPrepaid(5_000);
        assertThat(json("diff", folder.toString()).get("differences").size()).isEqualTo(0);
        assertThat(json("check", folder.toString()).get("valid").asBoolean()).isTrue();
        JsonNode status = json("status");
        assertThat(status.get("leader").asBoolean()).isTrue();
        assertThat(status.get("groups").size()).isEqualTo(3);
        assertThat(run("status", "--control", address)).isEqualTo(0);
        assertThat(run("statement", "a", "--control", address)).isEqualTo(0);
    }

    /** Guards against applying a publish twice when an operator resends it. */
    @Test
    @Order(5)
    void returnsFirstResultForResentPublish() throws Exception {
        JsonNode again = json("publish", folder.toString(), "--publish-id", "first", "--based-on", "0");
        assertThat(again.get("number").asLong()).isEqualTo(1);
        assertThat(again.get("resent").asBoolean()).isTrue();
        assertThat(json("publish", folder.toString()).get("outcome").asText()).isEqualTo("unchanged");
    }

    /** Guards against concurrent publishes that overwrite each other. */
    @Test
    @Order(6)
    void rejectsPublishBasedOnOutdatedNumber() throws IOException {
        write("topup.1 = 5_000\ntopup.2 = 1");
        assertThat(run("publish", folder.toString(), "--control", address)).isEqualTo(0);
        write("topup.1 = 5_000\ntopup.2 = 1\ntopup.3 = 1");
        assertThat(run("publish", folder.toString(), "--control", address, "--based-on", "1"))
                .isEqualTo(1);
        assertThat(err.toString(StandardCharsets.UTF_8)).contains("conflict");
    }

    @Test
    @Order(7)
    void showsMoves() throws Exception {
        Instant now = Instant.now();
        write("topup.1 = 5_000\ntopup.2 = 1\n[endpoint e2]\nservice = s\nversion = v2\nagent = 10.0.0.2:7100\n"
                + "url = http://10.0.0.2:8000\ndata-center = a\n[move m]\nservice = s\nfrom = v1\nto = v2\nstart = "
                + now.minusSeconds(60) + "\nfinish = " + now.plusSeconds(3_600));
        assertThat(run("publish", folder.toString(), "--control", address)).isEqualTo(0);
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(5);
        while ("waiting".equals(move().get("state").asText()) && System.nanoTime() < end) {
            TimeUnit.MILLISECONDS.sleep(50);
        }
        assertThat(move().get("state").asText()).isEqualTo("running");
        // A version without evidence gets at most the trial share of 5 %.
        assertThat(move().get("sharePermille").asInt()).isIn(Range.closed(1, 50));
        assertThat(run("moves", "--control", address)).isEqualTo(0);
    }

    @Test
    @Order(8)
    void refusesUnknownNames() {
        assertThat(run("statement", "nobody", "--control", address)).isEqualTo(1);
        assertThat(run("explain", "no-such-id", "--control", address)).isEqualTo(1);
        assertThat(run("explain", "a", "no-such-id", "--control", address)).isEqualTo(1);
    }

    @Test
    @Order(9)
    void ordersAndListsEvacuations() throws IOException {
        assertThat(run("evacuate", "--control", address)).isEqualTo(2);
        assertThat(run("evacuate", "start", "n1", "--control", address)).isEqualTo(2);
        assertThat(run("evacuate", "begin", "a/b", "--control", address)).isEqualTo(2);
        assertThat(run("evacuate", "begin", "n1", "--control", "127.0.0.1:1", "--timeout", "200ms"))
                .isEqualTo(4);
        assertThat(json("status").get("evacuations").size()).isEqualTo(0);
        long number = json("evacuate", "begin", "n1").get("number").asLong();
        assertThat(json("evacuate", "begin", "n1").get("number").asLong()).isEqualTo(number);
        JsonNode evacuation = json("status").get("evacuations").get(0);
        assertThat(evacuation.get("dataCenter").asText()).isEqualTo("n1");
        assertThat(evacuation.get("active").asBoolean()).isTrue();
        assertThat(run("evacuate", "finish", "n1", "--control", address)).isEqualTo(0);
        assertThat(json("status").get("evacuations").get(0).get("active").asBoolean())
                .isFalse();
        out.reset();
        assertThat(run("status", "--control", address)).isEqualTo(0);
        assertThat(out.toString(StandardCharsets.UTF_8)).containsMatch("n1 +ended");
    }

    private JsonNode move() throws IOException {
        return json("moves").get("moves").get(0);
    }

    private void awaitPrepaid(long tokens) throws Exception {
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(5);
        JsonNode statement = JSON.createObjectNode();
        while (!statement.path("known").asBoolean() && System.nanoTime() < end) {
            out.reset();
            run("statement", "a", "--json", "--control", address);
            statement = JSON.readTree(out.toByteArray());
        }
        assertThat(statement.path("budgets").path(0).path("prepaid").asLong()).isEqualTo(tokens);
        assertThat(statement.path("budgets").path(0).path("available").asLong()).isEqualTo(tokens);
    }

    private JsonNode json(String... args) throws IOException {
        out.reset();
        String[] all = Arrays.copyOf(args, args.length + 3);
        all[args.length] = "--json";
        all[args.length + 1] = "--control";
        all[args.length + 2] = address;
        assertThat(run(all)).isEqualTo(0);
        return JSON.readTree(out.toByteArray());
    }

    private int run(String... args) {
        return Program.standard(new PrintStream(out, true), new PrintStream(err, true))
                .run(args);
    }

    private void write(String topUps) throws IOException {
        Files.writeString(folder.resolve("all.ini"), """
                [account a]
                [service s]
                kind = plain
                version = v1
                [route r]
                service = s
                path = /s
                [endpoint e1]
                service = s
                version = v1
                agent = 10.0.0.1:7100
                url = http://10.0.0.1:8000
                data-center = a
                [budget a/s]
                """ + topUps + "\n");
    }
}
