package org.ragwortrun.routing;

import static com.google.common.truth.Truth.assertThat;

import com.google.protobuf.ByteString;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.ragwortrun.proto.CrashReport;

final class SuspectRegisterTest {
    private final SuspectRegister register = new IntersectingSuspectRegister(100);

    /**
     * Guards against a request that crashes one endpoint after another, and against refusing requests that ran beside
     * it.
     */
    @Test
    void refusesOnlyDigestCommonToBothCrashes() {
        crash(register, "e1", "1", "bad", "x", "y");
        assertThat(register.isRefused(digest("bad"))).isFalse();
        crash(register, "e2", "2", "z", "bad");
        assertThat(register.isRefused(digest("bad"))).isTrue();
        List.of("x", "y", "z")
                .forEach(d -> assertThat(register.isRefused(digest(d))).isFalse());
    }

    /** Guards against refusing a request after a single crash that was reported several times. */
    @Test
    void countsReportsOfOneCrashOnce() {
        crash(register, "e1", "1", "a", "b");
        crash(register, "e1", "1", "a", "b");
        assertThat(register.isRefused(digest("a"))).isFalse();
        crash(register, "e1", "2", "a", "b");
        assertThat(register.isRefused(digest("a"))).isTrue();
    }

    /** Guards against refusing requests that ran beside late copies of a refused one. */
    @Test
    void attributesLaterCrashesToRefusedDigest() {
        SuspectRegister naive = new NaiveSuspectRegister();
        for (SuspectRegister r : List.of(register, naive)) {
            crash(r, "e1", "1", "bad");
            crash(r, "e2", "2", "bad", "x");
            crash(r, "e3", "3", "bad", "x");
        }
        assertThat(register.isRefused(digest("x"))).isFalse();
        assertThat(naive.isRefused(digest("x"))).isTrue();
    }

    /** Guards against a retry under the same request id with slightly different content. */
    @Test
    void refusesByRequestId() {
        register.onCrash(report("e1", "id", "a"));
        register.onCrash(report("e2", "id", "b"));
        assertThat(register.isRefused("dealer", "id")).isTrue();
        assertThat(register.isRefused("other", "id")).isFalse();
    }

    /** Guards against memory use that grows with each crash. */
    @Test
    void evictsOldestSuspects() {
        SuspectRegister small = new IntersectingSuspectRegister(2);
        crash(small, "e1", "1", "a");
        crash(small, "e1", "2", "b");
        crash(small, "e1", "3", "c");
        crash(small, "e2", "4", "a");
        assertThat(small.isRefused(digest("a"))).isFalse();
        crash(small, "e3", "5", "a");
        assertThat(small.isRefused(digest("a"))).isTrue();
    }

    private static void crash(SuspectRegister register, String endpoint, String request, String... digests) {
        for (String d : digests) {
            CrashReport.Builder report = report(endpoint, request + d, d).toBuilder();
            for (String n : digests) {
                if (!n.equals(d)) {
                    report.addNeighbours(digest(n));
                }
            }
            register.onCrash(report.build());
        }
    }

    private static CrashReport report(String endpoint, String request, String digest) {
        return CrashReport.newBuilder()
                .setEndpoint(endpoint)
                .setAgentIncarnation(endpoint + "-1")
                .setAccount("dealer")
                .setRequestId(request)
                .setDigest(digest(digest))
                .setCrashes(1)
                .build();
    }

    private static ByteString digest(String text) {
        return ByteString.copyFromUtf8(text);
    }
}
