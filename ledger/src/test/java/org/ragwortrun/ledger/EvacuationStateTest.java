package org.ragwortrun.ledger;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.util.ArrayList;
import java.util.Base64;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.junit.jupiter.api.Test;
import org.ragwortrun.proto.Evacuation;
import org.ragwortrun.proto.EvacuationOrder;
import org.ragwortrun.proto.EvacuationReply;
import org.ragwortrun.proto.MetaCommand;
import org.ragwortrun.proto.MetaResult;
import org.ragwortrun.proto.Publish;
import org.ragwortrun.proto.PublishReply;
import org.ragwortrun.proto.Section;

final class EvacuationStateTest {
    // Written by the code before evacuations: generation 7 with one origin, a baseline, an ordered move, a fencing
    // number.
    private static final String FORMAT_2 =
            "AAAAAAAAAAIAAAAAAAAAAwAAAAAAAAABAAAAAAAAAAQAAAABAAAACG9yaWdpbiBvAAAAGQoGb3JpZ2luEgFvGgwK"
                    + "BW1vZGVsEgN5ZXMAAAAAAAAAAQAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAQAAAAJlMQAAAAAA"
                    + "AAABAAAAAAAAAAcAAAADZG9jAAAAAQAAAAFvAAAAAnYxAAAAAQAAABEKAW8SAnYxGgJ2MiC4FyiIJw==";
    // The evacuations are the last field of a snapshot; without any, they are only their number.
    private static final int EMPTY_BYTES = Integer.BYTES;

    private MetaState meta = create();

    private static MetaState create() {
        return new MetaState((previous, next, now) -> List.of());
    }

    @Test
    void beginsAndEndsEvacuation() {
        assertAccepted(order("n1", true), 1);
        assertThat(meta.evacuations()).containsExactly(evacuation("n1", true, 1));
        assertAccepted(order("n1", false), 2);
        assertThat(meta.evacuations()).containsExactly(evacuation("n1", false, 2));
    }

    /** Guards against daemons that are updated, or a time of change that is lost, when an order is resent. */
    @Test
    void acknowledgesRepeatedOrderWithoutChange() {
        order("n1", true);
        byte[] before = snapshot(meta);
        assertAccepted(order("n1", true), 1);
        assertThat(meta.number()).isEqualTo(1);
        assertThat(snapshot(meta)).isEqualTo(before);
    }

    /** Guards against an entry for each name that was never evacuated. */
    @Test
    void acknowledgesEndOfUnknownEvacuationWithoutChange() {
        assertAccepted(order("n1", false), 0);
        assertThat(meta.evacuations()).isEmpty();
    }

    /** Guards against an order that ends the evacuation of another data center. */
    @Test
    void evacuatesTwoDataCentersAtOnce() {
        order("n2", true);
        order("n1", true);
        order("n2", false);
        assertThat(meta.evacuations())
                .containsExactly(evacuation("n1", true, 2), evacuation("n2", false, 3))
                .inOrder();
    }

    /** Guards against names that cannot be logged or named in a path. */
    @Test
    void refusesMalformedNames() {
        for (String name : List.of("", "a/b", "a b", "a\nb", "a\u0000", "é", "x".repeat(65))) {
            assertWithMessage(name).that(order(name, true).getError().getType()).isEqualTo("malformed-data-center");
        }
        assertThat(meta.number()).isEqualTo(0);
        assertAccepted(order("x".repeat(64), true), 1);
    }

    /** Guards against unbounded state. */
    @Test
    void boundsNumberOfDataCenters() {
        for (int i = 0; i < 256; i++) {
            assertAccepted(order("n" + i, true), i + 1);
        }
        assertThat(order("more", true).getError().getType()).isEqualTo("too-many-evacuations");
        order("n7", false);
        order("n3", false);
        assertAccepted(order("more", true), 259);
        assertThat(meta.evacuations().stream().map(Evacuation::getDataCenter).toList())
                .doesNotContain("n7");
        assertThat(meta.evacuations()).hasSize(256);
        assertAccepted(order("n3", true), 260);
    }

    /** Guards against operators' publications that conflict because a data center was evacuated in the meantime. */
    @Test
    void doesNotConflictWithPublications() {
        publish(0, "p1");
        order("n1", true);
        assertThat(publish(1, "p2").getOutcome()).isEqualTo(PublishReply.Outcome.ACCEPTED);
        assertThat(meta.configuration().getEvacuationsList()).containsExactly(evacuation("n1", true, 2));
    }

    /** Guards against routers that keep an evacuation of which they missed the end. */
    @Test
    void updatesContainAllEvacuations() {
        publish(0, "p1");
        order("n1", true);
        order("n2", true);
        for (long base = 0; base <= meta.number(); base++) {
            assertThat(meta.updateFrom(base).getEvacuationsList())
                    .containsExactly(evacuation("n1", true, 2), evacuation("n2", true, 3));
        }
    }

    @Test
    void restoresEvacuations() throws IOException {
        order("n2", true);
        order("n1", true);
        order("n1", false);
        MetaState restored = create();
        restored.readSnapshot(new ByteArrayInputStream(snapshot(meta)));
        assertThat(restored.evacuations()).isEqualTo(meta.evacuations());
        assertThat(snapshot(restored)).isEqualTo(snapshot(meta));
    }

    /** Guards against members that cannot start after an upgrade because their snapshot is of the previous format. */
    @Test
    void readsSnapshotOfPreviousFormat() throws IOException {
        order("n1", true);
        meta.readSnapshot(new ByteArrayInputStream(Base64.getDecoder().decode(FORMAT_2)));
        assertThat(meta.number()).isEqualTo(3);
        assertThat(meta.appliedIndex()).isEqualTo(4);
        assertThat(meta.evacuations()).isEmpty();
        assertThat(meta.configuration().getGeneration()).isEqualTo(7);
        assertThat(meta.orderedMoves()).hasSize(2);
        byte[] next = snapshot(meta);
        byte[] previous = Base64.getDecoder().decode(FORMAT_2);
        assertThat(next[Long.BYTES - 1]).isEqualTo((byte) 3);
        assertThat(next).hasLength(previous.length + EMPTY_BYTES);
        assertAccepted(order("n1", true), 4);
    }

    /** Guards against a state that mixes the old one with a snapshot that cannot be read. */
    @Test
    void refusesUnknownAndTruncatedSnapshotsWithoutChange() throws IOException {
        order("n1", true);
        byte[] good = snapshot(meta);
        MetaState other = create();
        for (byte format : new byte[] {0, 1, 4}) {
            byte[] unknown = good.clone();
            unknown[Long.BYTES - 1] = format;
            assertThrows(IOException.class, () -> other.readSnapshot(new ByteArrayInputStream(unknown)));
        }
        for (int length = 0; length < good.length; length++) {
            byte[] cut = java.util.Arrays.copyOf(good, length);
            assertThrows(IOException.class, () -> other.readSnapshot(new ByteArrayInputStream(cut)));
        }
        assertThat(snapshot(other)).isEqualTo(snapshot(create()));
    }

    /** Guards against members whose states differ after the same log, also if one restored a snapshot midway. */
    @Test
    void membersWithSameLogHaveEqualSnapshots() throws IOException {
        for (long seed = 1; seed <= 50; seed++) {
            UniformRandomProvider random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
            MetaState first = create();
            MetaState second = create();
            Map<String, Boolean> expected = new TreeMap<>();
            for (int i = 0; i < 400; i++) {
                String name = "n" + random.nextInt(6);
                boolean begin = random.nextBoolean();
                byte[] entry = command(name, begin, random.nextLong() >>> 8).toByteArray();
                assertThat(first.apply(i, entry)).isEqualTo(second.apply(i, entry));
                if (begin || expected.containsKey(name)) {
                    expected.put(name, begin);
                }
                if (random.nextInt(20) == 0) {
                    byte[] bytes = snapshot(second);
                    second = create();
                    second.readSnapshot(new ByteArrayInputStream(bytes));
                }
            }
            assertWithMessage("seed " + seed).that(snapshot(second)).isEqualTo(snapshot(first));
            Map<String, Boolean> active = new TreeMap<>();
            new ArrayList<>(first.evacuations()).forEach(e -> active.put(e.getDataCenter(), e.getActive()));
            assertWithMessage("seed " + seed).that(active).isEqualTo(expected);
        }
    }

    private MetaResult order(String dataCenter, boolean begin) {
        return meta.apply(command(dataCenter, begin, 1_000));
    }

    private static MetaCommand command(String dataCenter, boolean begin, long nowMs) {
        return MetaCommand.newBuilder()
                .setNowMs(nowMs)
                .setEvacuation(EvacuationOrder.newBuilder()
                        .setDataCenter(dataCenter)
                        .setBegin(begin)
                        .setValidMs(900))
                .build();
    }

    private static Evacuation evacuation(String dataCenter, boolean active, long number) {
        return Evacuation.newBuilder()
                .setDataCenter(dataCenter)
                .setActive(active)
                .setNumber(number)
                .setChangedMs(1_000)
                .build();
    }

    private static void assertAccepted(MetaResult result, long number) {
        assertThat(result.getEvacuation())
                .isEqualTo(EvacuationReply.newBuilder()
                        .setOutcome(EvacuationReply.Outcome.ACCEPTED)
                        .setNumber(number)
                        .build());
    }

    private PublishReply publish(long basedOn, String id) {
        return meta.apply(MetaCommand.newBuilder()
                        .setPublish(Publish.newBuilder()
                                .setBasedOn(basedOn)
                                .setPublishId(id)
                                .addSections(
                                        Section.newBuilder().setKind("service").setName(id)))
                        .build())
                .getPublish();
    }

    private static byte[] snapshot(MetaState state) {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        try {
            state.writeSnapshot(out);
        } catch (IOException e) {
            throw new java.io.UncheckedIOException(e);
        }
        return out.toByteArray();
    }
}
