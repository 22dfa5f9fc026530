package org.ragwortrun.core.config;

import static com.google.common.truth.Truth.assertThat;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Instant;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.ragwortrun.proto.Section;

/** One test per rule. Each guards against an error that is not detected or is reported at the wrong line. */
final class ConfigurationCheckerTest {
    private static final long NOW = Instant.parse("2026-12-04T12:00:00Z").toEpochMilli();
    private static final String DIGEST = "5e884898da28047151d0e56f8dc6292773603d0d6aabbdd62a11ef721d1542d8";
    private static final String SERVICE = """
            [service s]
            kind = plain
            version = v1
            [endpoint e1]
            service = s
            version = v1
            agent = 10.0.1.7:7100
            url = http://10.0.1.7:8000
            data-center = a
            [endpoint e2]
            service = s
            version = v2
            agent = 10.0.1.8:7100
            url = http://10.0.1.8:8000
            data-center = a
            [account a]
            keys = %s
            """.formatted(DIGEST);

    @TempDir
    Path folder;

    @Test
    void acceptsValidConfiguration() throws IOException {
        String text = SERVICE + "[budget a/s]\ntopup.1 = 5_000_000\n[route r]\nservice = s\npath = /s\n"
                + move("m", "12:30", "14:00");
        assertThat(check(text, "")).isEmpty();
    }

    @Test
    void unknownKind() throws IOException {
        assertThat(checkWithService("[servise x]\n"))
                .containsExactly("f.ini:18: [servise x]: unknown-kind: expected one of the kinds "
                        + "account, budget, service, route, endpoint, move, origin, forward, limits");
    }

    @Test
    void unknownKey() throws IOException {
        assertThat(checkWithService("[budget a/s]\ntopup = 5\n"))
                .containsExactly("f.ini:19: [budget a/s] topup: unknown-key: expected topup.ID or prepaid");
    }

    @Test
    void duplicateName() throws IOException {
        assertThat(checkWithService("[account a]\n"))
                .containsExactly("f.ini:18: [account a]: duplicate-name: expected another name than the section at"
                        + " f.ini:16");
    }

    @Test
    void duplicateKey() throws IOException {
        assertThat(checkWithService("[budget a/s]\ntopup.1 = 5\n\ntopup.1 = 6\n"))
                .containsExactly("f.ini:21: [budget a/s] topup.1: duplicate-key: expected the key once; it stands at"
                        + " line 19 too");
    }

    @Test
    void negativeOrUnreadableAmount() throws IOException {
        assertThat(checkWithService("[budget a/s]\ntopup.1 = -5\ntopup.2 = 5 million\n"))
                .containsExactly(
                        "f.ini:19: [budget a/s] topup.1: whole-number: expected a whole number from 0 to"
                                + " 9223372036854775807",
                        "f.ini:20: [budget a/s] topup.2: whole-number: expected a whole number from 0 to"
                                + " 9223372036854775807")
                .inOrder();
    }

    @Test
    void topUpSumOutOfRange() throws IOException {
        assertThat(checkWithService("[budget a/s]\ntopup.1 = 9223372036854775807\ntopup.2 = 1\n"))
                .containsExactly("f.ini:18: [budget a/s]: top-up-sum: expected top-ups that add up to at most"
                        + " 9223372036854775807");
    }

    @Test
    void missingReference() throws IOException {
        assertThat(checkWithService("[route r]\nservice = t\npath = /r\n[budget b/s]\n"))
                .containsExactly(
                        "f.ini:19: [route r] service: missing-reference: expected a section [service t] in the files",
                        "f.ini:21: [budget b/s]: missing-reference: expected a section [account b] in the files")
                .inOrder();
    }

    @Test
    void overlappingMoves() throws IOException {
        assertThat(checkWithService(move("m", "12:30", "14:00") + move("n", "13:59", "15:00")))
                .containsExactly("f.ini:28: [move n] start: overlapping-moves: expected a time outside of move m of"
                        + " the same service, or that move removed");
    }

    @Test
    void moveWithNoTimeLeft() throws IOException {
        assertThat(checkWithService(move("m", "11:00", "12:00") + move("n", "13:00", "13:00")))
                .containsExactly(
                        "f.ini:23: [move m] finish: no-time-left: expected a time after now, 2026-12-04T12:00:00Z",
                        "f.ini:29: [move n] finish: no-time-left: expected a time after the start")
                .inOrder();
    }

    /** Guards against a time that overflows when daemons convert it to milliseconds. */
    @Test
    void timeOutOfRange() throws IOException {
        assertThat(checkWithService(move("m", "12:30", "14:00")
                        .replace("finish = 2026-12-04T14:00:00Z", "finish = +999999999-12-31T23:59:59Z")))
                .containsExactly("f.ini:23: [move m] finish: time: expected a UTC time such as 2026-12-04T18:00:00Z");
    }

    /** Guards against past moves that prevent every later publication. */
    @Test
    void acceptsUnchangedPastMove() throws IOException {
        String text = SERVICE + move("m", "11:00", "12:00");
        assertThat(check(text, text)).isEmpty();
    }

    @Test
    void changedOrRemovedTopUp() throws IOException {
        String before = SERVICE + "[budget a/s]\ntopup.1 = 5_000\ntopup.2 = 6\ntopup.3 = 7\n";
        assertThat(check(SERVICE + "[budget a/s]\ntopup.1 = 5000\ntopup.2 = 60\n", before))
                .containsExactly(
                        "f.ini:18: [budget a/s] topup.3: top-up-removed: expected the accepted amount 7; add another"
                                + " top-up instead",
                        "f.ini:20: [budget a/s] topup.2: top-up-changed: expected the accepted amount 6; add another"
                                + " top-up instead")
                .inOrder();
        assertThat(check(SERVICE, before))
                .containsExactly("f.ini:18: [budget a/s]: top-up-removed: expected the section, whose top-ups were"
                        + " accepted");
    }

    @Test
    void duplicatePath() throws IOException {
        assertThat(checkWithService("[route r]\nservice = s\npath = /r\n[route q]\nservice = s\npath = /r\n"))
                .containsExactly(
                        "f.ini:23: [route q] path: duplicate-path: expected a path that route r does not have");
    }

    @Test
    void duplicateModel() throws IOException {
        String models = "[service m]\nkind = model\nmodel = x\nversion = v1\n[endpoint em]\nservice = m\nversion = v1\n"
                + endpoint(1) + "[service n]\nkind = model\nmodel = x\nversion = v1\n[endpoint en]\nservice = n\n"
                + "version = v1\n" + endpoint(2);
        assertThat(checkWithService(models))
                .containsExactly("f.ini:30: [service n] model: duplicate-model: expected a model that service m does"
                        + " not offer");
    }

    @Test
    void duplicateApiKey() throws IOException {
        assertThat(checkWithService("[account b]\nkeys = " + DIGEST + "\n"))
                .containsExactly("f.ini:19: [account b] keys: duplicate-api-key: expected a digest that account a does"
                        + " not have, not " + DIGEST);
    }

    /** Guards against an API key that is published in plain text. */
    @Test
    void plainTextApiKey() throws IOException {
        assertThat(checkWithService("[account b]\nkeys = secret\n"))
                .containsExactly("f.ini:19: [account b] keys: api-key-form: expected SHA-256 digests of 64 lower-case"
                        + " hex digits, with commas between");
    }

    @Test
    void versionWithoutEndpoint() throws IOException {
        assertThat(checkWithService(move("m", "12:30", "14:00").replace("v2", "v3")))
                .containsExactly("f.ini:21: [move m] to: version-without-endpoint: expected an endpoint of service s"
                        + " with version v3");
    }

    @Test
    void addressForm() throws IOException {
        String endpoint = "[endpoint e3]\nservice = s\nversion = v1\ndata-center = a\nagent = host:7100\n"
                + "url = http://10.0.1.300:80\n";
        assertThat(checkWithService(endpoint))
                .containsExactly(
                        "f.ini:22: [endpoint e3] agent: address-form: expected an IP address and port such as"
                                + " 10.0.1.7:7100",
                        "f.ini:23: [endpoint e3] url: address-form: expected a URL with an IP address and port such as"
                                + " http://10.0.1.7:8000")
                .inOrder();
    }

    @Test
    void duplicateAgent() throws IOException {
        String endpoint =
                "[endpoint e3]\nservice = s\nversion = v1\n" + endpoint(1).replace("10.1.1.1", "10.0.1.7");
        assertThat(checkWithService(endpoint))
                .containsExactly("f.ini:21: [endpoint e3] agent: duplicate-agent: expected an address that endpoint e1"
                        + " does not have");
    }

    @Test
    void serviceModelPathAndNameForms() throws IOException {
        String text = "[service t]\nkind = plain\nmodel = x\nversion = v1\n[endpoint et]\nservice = t\nversion = v1\n"
                + endpoint(1) + "[route r/1]\nservice = t\npath = r\n";
        assertThat(checkWithService(text))
                .containsExactly(
                        "f.ini:20: [service t] model: service-model: expected no model for a plain service",
                        "f.ini:28: [route r/1]: name-form: expected a name of at most 100 letters, digits, dots,"
                                + " hyphens and underscores",
                        "f.ini:30: [route r/1] path: path-form: expected a path that starts with / and has no query")
                .inOrder();
    }

    @Test
    void malformedIniLines() throws IOException {
        assertThat(check("stray = 1\n[account]\n[account b]\nkeys\n", ""))
                .containsExactly(
                        "f.ini:1: [] stray: section-header: expected a header of the form [kind name] before the first"
                                + " key",
                        "f.ini:2: []: section-header: expected a header of the form [kind name]",
                        "f.ini:4: [] keys: key-value: expected a line of the form key = value")
                .inOrder();
    }

    /** Guards against placeholders in values that are replaced with environment variables of the reading process. */
    @Test
    void doesNotInterpolateValues() throws IOException {
        Files.writeString(folder.resolve("f.ini"), "[route r]\npath = /${env:HOME} ; comment\n");
        assertThat(OperatorFiles.read(folder).sections().get(0).getPropertiesOrThrow("path"))
                .isEqualTo("/${env:HOME}");
    }

    private List<String> checkWithService(String text) throws IOException {
        return check(SERVICE + text, "");
    }

    private List<String> check(String text, String previous) throws IOException {
        Path file = Files.writeString(folder.resolve("f.ini"), previous.isEmpty() ? "[account x]\n" : previous);
        var before = previous.isEmpty()
                ? List.<Section>of()
                : OperatorFiles.read(folder).sections();
        Files.writeString(file, text);
        return ConfigurationChecker.standard().check(OperatorFiles.read(folder), before, NOW).stream()
                .map(ConfigurationError::toString)
                .toList();
    }

    private static String move(String name, String start, String finish) {
        return "[move %s]\nservice = s\nfrom = v1\nto = v2\nstart = 2026-12-04T%s:00Z\nfinish = 2026-12-04T%s:00Z\n"
                .formatted(name, start, finish);
    }

    private static String endpoint(int host) {
        return "agent = 10.1.1.%d:7100\nurl = http://10.1.1.%d:8000\ndata-center = a\n".formatted(host, host);
    }
}
