package org.ragwortrun.ledger;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import com.google.protobuf.ByteString;
import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.junit.jupiter.api.Test;
import org.ragwortrun.proto.*;

final class MetaStateTest {
    private static final ConfigurationRules NO_BAD_SECTIONS = (previous, next, now) -> next.stream()
            .filter(s -> s.getName().equals("bad"))
            .map(s -> ConfigError.newBuilder().setSection("service bad").build())
            .toList();

    private MetaState meta = new MetaState(NO_BAD_SECTIONS);

    /** Guards against lost updates when two operators publish concurrently. */
    @Test
    void rejectsSecondPublicationWithSameBase() {
        assertThat(publish(0, "p1", section("service", "a", "1")).getNumber()).isEqualTo(1);
        PublishReply second = publish(0, "p2", section("service", "b", "1"));
        assertThat(second.getOutcome()).isEqualTo(PublishReply.Outcome.CONFLICT);
        assertThat(second.getNumber()).isEqualTo(1);
    }

    /** Guards against a second number, or a false conflict, for a publication that is resent after a lost reply. */
    @Test
    void repeatsReplyToResentPublication() {
        publish(0, "p1", section("service", "a", "1"));
        publish(1, "p2", section("service", "a", "2"));
        PublishReply resent = publish(0, "p1", section("service", "a", "1"));
        assertThat(resent.getOutcome()).isEqualTo(PublishReply.Outcome.ACCEPTED);
        assertThat(resent.getNumber()).isEqualTo(1);
        assertThat(resent.getResent()).isTrue();
        assertThat(meta.number()).isEqualTo(2);
    }

    /** Guards against an invalid configuration that changes the state. */
    @Test
    void rejectsInvalidConfigurationWithoutEffect() {
        assertThat(publish(0, "p1", section("service", "bad", "1")).getOutcome())
                .isEqualTo(PublishReply.Outcome.INVALID);
        assertThat(meta.number()).isEqualTo(0);
        assertThat(meta.configuration().getSectionsCount()).isEqualTo(0);
    }

    /** Guards against publications that conflict because a move made progress in the meantime. */
    @Test
    void moveProgressDoesNotCauseConflict() {
        publish(0, "p1", section("move", "m", "1"));
        progress(100);
        assertThat(progress(200).getNumber()).isEqualTo(3);
        assertThat(progress(200).getNumber()).isEqualTo(3);
        PublishReply next = publish(1, "p2", section("move", "m", "2"));
        assertThat(next.getNumber()).isEqualTo(4);
        assertThat(meta.moves()).isEmpty();
    }

    /** Guards against counting a crash twice because it was reported twice, and against counting it for neighbours. */
    @Test
    void refusesRequestAfterSecondCrash() {
        ByteString digest = ByteString.copyFromUtf8("d");
        ByteString neighbour = ByteString.copyFromUtf8("n");
        CrashReport first = CrashReport.newBuilder()
                .setDigest(digest)
                .setRequestId("q1")
                .setEndpoint("e1")
                .addNeighbours(neighbour)
                .build();
        crash(first);
        crash(first);
        assertThat(meta.suspect(digest.toByteArray()).orElseThrow().getRefused())
                .isFalse();
        crash(first.toBuilder().setEndpoint("e2").build());
        assertThat(meta.suspect(digest.toByteArray()).orElseThrow().getRefused())
                .isTrue();
        assertThat(meta.suspect(neighbour.toByteArray())).isEmpty();
        assertThat(meta.number()).isEqualTo(2);
    }

    /** Guards against refusing requests that share endpoints with a request that is known to crash them. */
    @Test
    void doesNotCountCrashAgainstNeighboursOfRefusedRequest() {
        ByteString culprit = ByteString.copyFromUtf8("d");
        CrashReport alone = CrashReport.newBuilder()
                .setDigest(culprit)
                .setRequestId("q1")
                .setEndpoint("e1")
                .build();
        crash(alone);
        crash(alone.toBuilder().setCrashes(1).build());
        assertThat(meta.suspect(culprit.toByteArray()).orElseThrow().getRefused())
                .isTrue();
        ByteString innocent = ByteString.copyFromUtf8("i");
        for (int i = 0; i < 3; i++) {
            crash(CrashReport.newBuilder()
                    .setDigest(innocent)
                    .setRequestId("q" + i)
                    .setEndpoint("e" + i)
                    .addNeighbours(culprit)
                    .build());
        }
        assertThat(meta.suspect(innocent.toByteArray())).isEmpty();
    }

    /** Guards against crashes that are counted again when a report is resent, or that are lost in a restore. */
    @Test
    void countsEachRouterReportOnce() throws IOException {
        ByteString culprit = ByteString.copyFromUtf8("d");
        ByteString neighbour = ByteString.copyFromUtf8("n");
        reportCrash("r1", 1, 100, culprit, neighbour);
        reportCrash("r1", 1, 150, culprit, neighbour);
        assertThat(meta.number()).isEqualTo(0);
        restore();
        reportCrash("r2", 1, 200, culprit);
        assertThat(meta.number()).isEqualTo(1);
        CrashReport refused = meta.updateFrom(0).getSuspectsList().get(0);
        assertThat(refused.getDigest()).isEqualTo(culprit);
        assertThat(refused.getLastCrashMs()).isEqualTo(200);
        reportCrash("r3", 1, 300, culprit, neighbour);
        assertThat(meta.updateFrom(1).getSuspects(0).getLastCrashMs()).isEqualTo(300);
        assertThat(meta.suspect(neighbour.toByteArray()).orElseThrow().getRefused())
                .isFalse();
    }

    /** Guards against excessive configuration updates when many endpoints crash. */
    @Test
    void singleCrashIsNotPublishedToDaemons() {
        for (int i = 0; i < 50; i++) {
            reportCrash("r" + i, 1, 100, ByteString.copyFromUtf8("d" + i));
        }
        assertThat(meta.number()).isEqualTo(0);
        assertThat(meta.updateFrom(0).getSuspectsList()).isEmpty();
    }

    /** Guards against two load orders with the same fencing number after a restore. */
    @Test
    void fencingNumbersIncreaseAcrossRestore() throws IOException {
        MetaCommand next = MetaCommand.newBuilder()
                .setNextFencing(NextFencing.newBuilder().setEndpoint("e1"))
                .build();
        assertThat(meta.apply(next).getFencing()).isEqualTo(1);
        restore();
        assertThat(meta.apply(next).getFencing()).isEqualTo(2);
    }

    /** Guards against incremental updates that result in other sections than the full configuration. */
    @Test
    void incrementalUpdatesMatchFullConfiguration() throws IOException {
        for (long seed = 1; seed <= 100; seed++) {
            UniformRandomProvider random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
            meta = new MetaState(NO_BAD_SECTIONS);
            Map<Long, Map<String, String>> daemons = new TreeMap<>();
            daemons.put(0L, new TreeMap<>());
            for (int i = 0; i < 30; i++) {
                List<Section> sections = new ArrayList<>();
                for (String kind : List.of("service", "route", "budget", "account")) {
                    for (int n = 0; n < 3; n++) {
                        if (random.nextInt(3) > 0) {
                            sections.add(section(kind, "x" + n, Integer.toString(random.nextInt(3))));
                        }
                    }
                }
                publish(meta.number(), "p" + i, sections.toArray(new Section[0]));
                if (random.nextInt(5) == 0) {
                    restore();
                }
                for (Map<String, String> daemon : List.copyOf(daemons.values())) {
                    Map<String, String> expected = applyUpdate(new TreeMap<>(), meta.updateFrom(0));
                    assertThat(expected.keySet().stream().noneMatch(k -> k.startsWith("budget")))
                            .isTrue();
                    long base = daemons.entrySet().stream()
                            .filter(e -> e.getValue().equals(daemon))
                            .mapToLong(Map.Entry::getKey)
                            .max()
                            .orElseThrow();
                    Map<String, String> updated = applyUpdate(new TreeMap<>(daemon), meta.updateFrom(base));
                    assertWithMessage("seed " + seed + " base " + base)
                            .that(updated)
                            .isEqualTo(expected);
                    daemons.put(meta.number(), updated);
                }
            }
        }
    }

    private static Map<String, String> applyUpdate(Map<String, String> held, ConfigUpdate update) {
        if (update.getBase() == 0) {
            held.clear();
        }
        update.getRemovedList().forEach(r -> held.remove(r.getKind() + r.getName()));
        update.getChangedList()
                .forEach(s ->
                        held.put(s.getKind() + s.getName(), s.getPropertiesMap().get("v")));
        return held;
    }

    private void restore() throws IOException {
        ByteArrayOutputStream before = new ByteArrayOutputStream();
        meta.writeSnapshot(before);
        meta = new MetaState(NO_BAD_SECTIONS);
        meta.readSnapshot(new ByteArrayInputStream(before.toByteArray()));
        ByteArrayOutputStream after = new ByteArrayOutputStream();
        meta.writeSnapshot(after);
        assertThat(after.toByteArray()).isEqualTo(before.toByteArray());
    }

    private PublishReply publish(long basedOn, String id, Section... sections) {
        return meta.apply(MetaCommand.newBuilder()
                        .setPublish(Publish.newBuilder()
                                .setBasedOn(basedOn)
                                .setPublishId(id)
                                .addAllSections(List.of(sections)))
                        .build())
                .getPublish();
    }

    private MetaResult progress(int share) {
        return meta.apply(MetaCommand.newBuilder()
                .setMoveProgress(MoveProgress.newBuilder().setMove("m").setSharePermille(share))
                .build());
    }

    private void crash(CrashReport report) {
        meta.apply(MetaCommand.newBuilder().setCrash(report).build());
    }

    private void reportCrash(String router, long sequence, long nowMs, ByteString... digests) {
        meta.apply(MetaCommand.newBuilder()
                .setNowMs(nowMs)
                .setCrashEvidence(CrashEvidence.newBuilder()
                        .setReporter(router)
                        .setSequence(sequence)
                        .addCrashes(EndpointCrash.newBuilder()
                                .setEndpoint("e" + nowMs)
                                .addAllDigests(List.of(digests))))
                .build());
    }

    private static Section section(String kind, String name, String value) {
        return Section.newBuilder()
                .setKind(kind)
                .setName(name)
                .putProperties("v", value)
                .build();
    }
}
