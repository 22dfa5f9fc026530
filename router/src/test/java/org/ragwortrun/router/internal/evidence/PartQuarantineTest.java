package org.ragwortrun.router.internal.evidence;

import static com.google.common.truth.Truth.assertThat;

import com.google.protobuf.ByteString;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.junit.jupiter.api.Test;
import org.ragwortrun.core.time.Time;
import org.ragwortrun.ledger.PartCrashes;
import org.ragwortrun.proto.CrashReport;
import org.ragwortrun.proto.EndpointCrash;
import org.ragwortrun.proto.SuspectedParts;

/** Checks which prompts are refused after crashes, with what several routers know of them. */
final class PartQuarantineTest {
    private static final int ROUTERS = 7;

    private final Map<ByteString, CrashReport> fleet = new HashMap<>();
    private final List<ByteString> released = new ArrayList<>();
    private boolean unrecorded;
    private long nowMs = 100_000;
    private final Time time = new Time() {
        @Override
        public long nanos() {
            return nowMs * 1_000_000;
        }

        @Override
        public long wallMillis() {
            return nowMs;
        }
    };
    private final PartQuarantine quarantine = router();

    private PartQuarantine router() {
        return new PartQuarantine(() -> fleet, () -> unrecorded, released::add, time);
    }

    @Test
    void refusesPartThatFleetQuarantines() {
        quarantineInFleet("bad");
        nowMs += 60_000;
        assertThat(quarantine.remainingQuarantine(parts("a", "bad")))
                .hasValue(PartQuarantine.QUARANTINE.minus(Duration.ofMinutes(1)));
        assertThat(quarantine.remainingQuarantine(parts("a", "b"))).isEmpty();
    }

    /** Guards against a harmless part that is refused by the routers that know it to be harmless. */
    @Test
    void hasPartReleasedThatWasAnsweredLately() {
        quarantine.onAnswered(parts("first"));
        quarantineInFleet("first");
        assertThat(quarantine.remainingQuarantine(parts("first"))).isEmpty();
        quarantine.remainingQuarantine(parts("first"));
        assertThat(released).containsExactlyElementsIn(parts("first"));
    }

    @Test
    void hasPartReleasedThatIsAnsweredAfterItsQuarantine() {
        quarantineInFleet("first");
        quarantine.onAnswered(parts("first"));
        assertThat(released).containsExactlyElementsIn(parts("first"));
    }

    /** Guards against sending a crashing part beside another companion than the one it always had so far. */
    @Test
    void refusesPartWhoseCompanionIsKnownToBeHarmless() {
        quarantineInFleet("bad", "subject");
        assertThat(quarantine.remainingQuarantine(parts("bad", "x"))).isEmpty();
        quarantine.onAnswered(parts("subject"));
        assertThat(quarantine.remainingQuarantine(parts("bad", "x"))).isPresent();
        assertThat(quarantine.remainingQuarantine(parts("subject", "x"))).isEmpty();
    }

    /** Guards against a router that sends a crashing part on and on while no control member records its reports. */
    @Test
    void decidesAloneUntilCrashesAreRecorded() {
        for (int i = 0; i < PartCrashes.CRASHES_TO_QUARANTINE; i++) {
            quarantine.onCrash("e" + i, List.of(parts("bad")));
        }
        assertThat(quarantine.remainingQuarantine(parts("bad"))).isEmpty();
        unrecorded = true;
        assertThat(quarantine.remainingQuarantine(parts("bad"))).isPresent();
    }

    @Test
    void doesNotSuspectPartsAnsweredLately() {
        quarantine.onAnswered(parts("first"));
        List<SuspectedParts> suspected = quarantine.onCrash("e", List.of(parts("first", "bad"), parts("first")));
        assertThat(suspected)
                .containsExactly(
                        SuspectedParts.newBuilder().addAllParts(parts("bad")).build());
        nowMs += PartQuarantine.ANSWER_MEMORY.toMillis() + 1;
        assertThat(quarantine.onCrash("e", List.of(parts("first")))).hasSize(1);
    }

    /**
     * Simulates a fleet that gets requests with a crashing part among harmless ones that share all their other parts,
     * while endpoints also crash for other reasons, with many seeds.
     */
    @Test
    void quarantinesCrashingPartAndServesHarmlessRequests() {
        for (long seed = 1; seed <= 200; seed++) {
            UniformRandomProvider random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
            fleet.clear();
            List<PartQuarantine> routers = new ArrayList<>();
            for (int i = 0; i < ROUTERS; i++) {
                routers.add(new PartQuarantine(() -> fleet, () -> false, this::release, time));
            }
            Map<ByteString, CrashReport> counted = new HashMap<>();
            int sentCrashing = 0;
            int refused = 0;
            for (int step = 0; step < 400; step++) {
                nowMs += 100;
                boolean crashing = random.nextInt(10) == 0;
                List<ByteString> request = parts("first" + random.nextInt(2), "subject" + random.nextInt(6));
                PartQuarantine router = routers.get(random.nextInt(ROUTERS));
                List<ByteString> sent = crashing ? append(request, "bad") : request;
                if (router.remainingQuarantine(sent).isPresent()) {
                    refused += crashing ? 0 : 1;
                    continue;
                }
                sentCrashing += crashing ? 1 : 0;
                if (crashing || random.nextInt(50) == 0) {
                    report(counted, "e" + step, router.onCrash("e" + step, List.of(sent)));
                } else {
                    router.onAnswered(sent);
                }
            }
            assertThat(sentCrashing).isAtMost(PartCrashes.CRASHES_TO_QUARANTINE + 2);
            assertThat(refused).isAtMost(20);
        }
    }

    private void report(Map<ByteString, CrashReport> counted, String endpoint, List<SuspectedParts> suspected) {
        EndpointCrash crash = EndpointCrash.newBuilder()
                .setEndpoint(endpoint)
                .addAllRequests(suspected)
                .build();
        PartCrashes.count(crash, p -> Optional.ofNullable(counted.get(p)), nowMs)
                .forEach(r -> counted.put(r.getDigest(), r));
        counted.values().stream().filter(CrashReport::getRefused).forEach(r -> fleet.put(r.getDigest(), r));
    }

    private void release(ByteString part) {
        fleet.remove(part);
        fleet.replaceAll((p, r) -> PartCrashes.withoutCompanion(r, part));
    }

    private void quarantineInFleet(String part, String... companions) {
        fleet.put(
                parts(part).get(0),
                CrashReport.newBuilder()
                        .setDigest(parts(part).get(0))
                        .setPart(true)
                        .setRefused(true)
                        .addAllCompanions(parts(companions))
                        .setLastCrashMs(nowMs)
                        .build());
    }

    private static List<ByteString> parts(String... names) {
        return Arrays.stream(names).map(ByteString::copyFromUtf8).toList();
    }

    private static List<ByteString> append(List<ByteString> parts, String name) {
        List<ByteString> all = new ArrayList<>(parts);
        all.addAll(parts(name));
        return all;
    }
}
