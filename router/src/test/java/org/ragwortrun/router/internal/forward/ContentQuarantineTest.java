package org.ragwortrun.router.internal.forward;

import static com.google.common.truth.Truth.assertThat;

import com.google.protobuf.ByteString;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.HttpMethod;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.junit.jupiter.api.Test;
import org.ragwortrun.core.time.Time;

/** Checks which content is quarantined after crashes. */
final class ContentQuarantineTest {
    private final RequestContent culprit = content("c", "culprit");
    private final RequestContent bystander = content("c", "neighbour");
    private final Map<ByteString, Long> fleetCrashes = new HashMap<>();
    private long nowMs = 1_000;
    private final ContentQuarantine quarantine = new ContentQuarantine(() -> fleetCrashes, new Time() {
        @Override
        public long nanos() {
            return nowMs * 1_000_000;
        }

        @Override
        public long wallMillis() {
            return nowMs;
        }
    });

    @Test
    void quarantinesContentAfterSecondCrash() {
        assertThat(crash(culprit)).containsExactly(culprit.digest());
        assertThat(quarantine.remainingQuarantine(culprit)).isEmpty();
        crash(culprit);
        assertThat(quarantine.remainingQuarantine(culprit)).hasValue(ContentQuarantine.QUARANTINE);
        assertThat(quarantine.remainingQuarantine(content("d", "culprit"))).isEmpty();
    }

    /** Guards against refusing requests that only ran on the same endpoints as the one that crashes them. */
    @Test
    void doesNotQuarantineContentThatSharedEndpointWithQuarantinedContent() {
        crash(culprit, bystander);
        crash(culprit);
        crash(culprit, bystander);
        crash(culprit, bystander);
        assertThat(quarantine.remainingQuarantine(bystander)).isEmpty();
    }

    /**
     * Guards against refusing content that many callers send at the same time, because it was running on every crashed
     * endpoint.
     */
    @Test
    void doesNotQuarantineContentAnsweredBetweenCrashes() {
        for (int i = 0; i < 5; i++) {
            quarantine.onAnswered(bystander);
            assertThat(crash(bystander)).isEmpty();
            assertThat(crash(bystander)).containsExactly(bystander.digest());
        }
        assertThat(quarantine.remainingQuarantine(bystander)).isEmpty();
    }

    @Test
    void quarantinesAgainAfterOneCrashOnceQuarantineExpires() {
        crash(culprit);
        crash(culprit);
        nowMs += ContentQuarantine.QUARANTINE.toMillis();
        assertThat(quarantine.remainingQuarantine(culprit)).isEmpty();
        crash(culprit);
        assertThat(quarantine.remainingQuarantine(culprit)).hasValue(ContentQuarantine.QUARANTINE);
    }

    @Test
    void appliesQuarantineReportedByFleet() {
        fleetCrashes.put(culprit.digest(), nowMs - 60_000);
        assertThat(quarantine.remainingQuarantine(culprit))
                .hasValue(ContentQuarantine.QUARANTINE.minus(Duration.ofMinutes(1)));
        fleetCrashes.put(culprit.digest(), nowMs + 2_000);
        assertThat(quarantine.remainingQuarantine(culprit)).hasValue(ContentQuarantine.QUARANTINE);
        fleetCrashes.put(culprit.digest(), nowMs - ContentQuarantine.QUARANTINE.toMillis());
        assertThat(quarantine.remainingQuarantine(culprit)).isEmpty();
    }

    /**
     * Simulates one culprit among harmless content, on endpoints that also crash for other reasons, with many seeds.
     */
    @Test
    void quarantinesCulpritAndNeverHarmlessContent() {
        for (long seed = 1; seed <= 300; seed++) {
            UniformRandomProvider random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
            ContentQuarantine simulated = new ContentQuarantine(Map::of, Time.steady());
            List<RequestContent> harmless = new ArrayList<>();
            for (int i = 0; i < 50; i++) {
                harmless.add(content("c", "sound-" + i));
            }
            int culpritCrashes = 0;
            for (int step = 0; step < 200; step++) {
                boolean sent = random.nextInt(4) == 0
                        && simulated.remainingQuarantine(culprit).isEmpty();
                culpritCrashes += sent ? 1 : 0;
                if (sent || random.nextInt(20) == 0) {
                    List<ByteString> present = new ArrayList<>();
                    present.add(harmless.get(random.nextInt(50)).digest());
                    if (sent) {
                        present.add(culprit.digest());
                    }
                    simulated.onCrash(present);
                }
                harmless.forEach(simulated::onAnswered);
            }
            assertThat(culpritCrashes).isAtMost(ContentQuarantine.CRASHES_TO_QUARANTINE);
            assertThat(harmless.stream()
                            .allMatch(c -> simulated.remainingQuarantine(c).isEmpty()))
                    .isTrue();
        }
    }

    private List<ByteString> crash(RequestContent... present) {
        return quarantine.onCrash(
                Arrays.stream(present).map(RequestContent::digest).toList());
    }

    private static RequestContent content(String account, String body) {
        return new RequestContent(account, HttpMethod.POST, "/x", Unpooled.wrappedBuffer(body.getBytes()));
    }
}
