package org.ragwortrun.ledger;

import static com.google.common.truth.Truth.assertThat;

import com.google.protobuf.ByteString;
import java.util.Arrays;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.ragwortrun.proto.CrashEvidence;
import org.ragwortrun.proto.CrashReport;
import org.ragwortrun.proto.EndpointCrash;
import org.ragwortrun.proto.MetaCommand;
import org.ragwortrun.proto.SuspectedParts;

/** Checks which parts of prompts the fleet quarantines after crashes that several routers report. */
final class PartCrashesTest {
    private static final long SECOND_MS = 1_000;

    private final MetaState state = new MetaState((previous, next, now) -> List.of());
    private long nowMs = SECOND_MS;
    private long sequence;

    @Test
    void quarantinesPartAfterThirdCrash() {
        crash("e1", request("bad", "x"));
        crash("e2", request("bad", "y"));
        assertThat(quarantined()).isEmpty();
        crash("e3", request("bad", "z"));
        assertThat(quarantined()).containsExactly("bad");
    }

    /** Guards against a quarantine after one crash that three routers report. */
    @Test
    void countsCrashReportedByManyRoutersOnce() {
        for (int router = 0; router < 5; router++) {
            crash("e1", request("bad", "x"));
        }
        assertThat(quarantined()).isEmpty();
    }

    @Test
    void countsLaterCrashOfEndpointThatKeepsItsId() {
        for (int i = 0; i < 3; i++) {
            crash("e1", request("bad"));
            nowMs += 5 * SECOND_MS;
        }
        assertThat(quarantined()).containsExactly("bad");
    }

    /** Guards against refusing harmless requests that share another part with those that crash endpoints. */
    @Test
    void refusesOnlyRequestsWithAllPartsThatWereAlwaysTogether() {
        crash("e1", request("bad", "subject"), request("other"));
        crash("e2", request("bad", "subject"));
        crash("e3", request("bad", "subject"), request("another"));
        CrashReport report = report("subject");
        assertThat(PartCrashes.isRefused(report, digests("subject", "bad")::contains))
                .isTrue();
        assertThat(PartCrashes.isRefused(report, digests("subject", "x")::contains))
                .isFalse();
    }

    @Test
    void dropsCompanionThatWasMissingAtOneCrash() {
        crash("e1", request("bad", "subject"));
        crash("e2", request("bad", "subject"));
        crash("e3", request("bad", "x"));
        assertThat(PartCrashes.isRefused(report("bad"), digests("bad")::contains))
                .isTrue();
        assertThat(quarantined()).containsExactly("bad");
    }

    /** Guards against further parts that are blamed for the crashes of a part that is already known. */
    @Test
    void attributesCrashToQuarantinedPartOnly() {
        for (int i = 0; i < 3; i++) {
            crash("e" + i, request("bad", "x" + i));
        }
        for (int i = 3; i < 9; i++) {
            crash("e" + i, request("bad", "subject"), request("neighbour"));
        }
        assertThat(quarantined()).containsExactly("bad");
    }

    /** Guards against a harmless part that stays quarantined although a router has received an answer with it. */
    @Test
    void releasesPartThatWasAnswered() {
        for (int i = 0; i < 3; i++) {
            crash("e" + i, request("bad", "first"));
        }
        long before = state.number();
        record(CrashEvidence.newBuilder().addAnsweredParts(digest("first")));
        assertThat(quarantined()).containsExactly("bad");
        assertThat(PartCrashes.isRefused(report("bad"), digests("bad")::contains))
                .isTrue();
        assertThat(state.updateFrom(before).getSuspectsList().stream().filter(CrashReport::getCleared))
                .hasSize(1);
    }

    /** Guards against a path on which crashes are counted by whole content only: here agents report each request. */
    @Test
    void countsPartsThatAgentsReport() {
        for (int i = 0; i < 3; i++) {
            reportByAgent("e" + i, "d" + i, "first", "bad");
            reportByAgent("e" + i, "n" + i, "first");
        }
        assertThat(quarantined()).containsExactly("first", "bad");
        record(CrashEvidence.newBuilder().addAnsweredParts(digest("first")));
        assertThat(quarantined()).containsExactly("bad");
    }

    private void reportByAgent(String endpoint, String content, String... parts) {
        state.apply(MetaCommand.newBuilder()
                .setNowMs(nowMs)
                .setCrash(CrashReport.newBuilder()
                        .setDigest(digest(content))
                        .setEndpoint(endpoint)
                        .addAllPromptParts(digests(parts)))
                .build());
    }

    private static SuspectedParts request(String... parts) {
        return SuspectedParts.newBuilder().addAllParts(digests(parts)).build();
    }

    private static List<ByteString> digests(String... parts) {
        return Arrays.stream(parts).map(PartCrashesTest::digest).toList();
    }

    private static ByteString digest(String part) {
        return ByteString.copyFromUtf8(part);
    }

    private void crash(String endpoint, SuspectedParts... requests) {
        record(CrashEvidence.newBuilder()
                .addCrashes(EndpointCrash.newBuilder().setEndpoint(endpoint).addAllRequests(Arrays.asList(requests))));
    }

    private void record(CrashEvidence.Builder evidence) {
        sequence++;
        state.apply(MetaCommand.newBuilder()
                .setNowMs(nowMs)
                .setCrashEvidence(evidence.setReporter("r").setSequence(sequence))
                .build());
    }

    private List<String> quarantined() {
        return state.updateFrom(0).getSuspectsList().stream()
                .filter(CrashReport::getRefused)
                .map(r -> r.getDigest().toStringUtf8())
                .toList();
    }

    private CrashReport report(String part) {
        return state.updateFrom(0).getSuspectsList().stream()
                .filter(r -> r.getDigest().equals(digest(part)))
                .findFirst()
                .orElseThrow();
    }
}
