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

/** Which content is kept back after crashes. */
final class CrashSuspectsTest {
    private final RequestContent culprit = content("c", "culprit");
    private final RequestContent neighbour = content("c", "neighbour");
    private final Map<ByteString, Long> fleet = new HashMap<>();
    private long nowMs = 1_000;
    private final CrashSuspects suspects = new CrashSuspects(() -> fleet, new Time() {
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
    void keepsContentBackAfterItsSecondCrash() {
        assertThat(crash(culprit)).containsExactly(culprit.digest());
        assertThat(suspects.keptBackFor(culprit)).isEmpty();
        crash(culprit);
        assertThat(suspects.keptBackFor(culprit)).hasValue(CrashSuspects.QUARANTINE);
        assertThat(suspects.keptBackFor(content("d", "culprit"))).isEmpty();
    }

    /** Guards against the refusal of requests that only shared endpoints with the one that crashes them. */
    @Test
    void sparesNeighboursOfContentThatIsKeptBack() {
        crash(culprit, neighbour);
        crash(culprit);
        crash(culprit, neighbour);
        crash(culprit, neighbour);
        assertThat(suspects.keptBackFor(neighbour)).isEmpty();
    }

    /** Guards against the refusal of what many callers ask at the same time, because it was on all crashed endpoints. */
    @Test
    void contentThatIsAnsweredBetweenCrashesIsNotKeptBack() {
        for (int i = 0; i < 5; i++) {
            suspects.answered(neighbour);
            assertThat(crash(neighbour)).isEmpty();
            assertThat(crash(neighbour)).containsExactly(neighbour.digest());
        }
        assertThat(suspects.keptBackFor(neighbour)).isEmpty();
    }

    @Test
    void afterAWhileOneMoreCrashIsEnough() {
        crash(culprit);
        crash(culprit);
        nowMs += CrashSuspects.QUARANTINE.toMillis();
        assertThat(suspects.keptBackFor(culprit)).isEmpty();
        crash(culprit);
        assertThat(suspects.keptBackFor(culprit)).hasValue(CrashSuspects.QUARANTINE);
    }

    @Test
    void knowsWhatTheFleetKeepsBack() {
        fleet.put(culprit.digest(), nowMs - 60_000);
        assertThat(suspects.keptBackFor(culprit)).hasValue(CrashSuspects.QUARANTINE.minus(Duration.ofMinutes(1)));
        fleet.put(culprit.digest(), nowMs + 2_000);
        assertThat(suspects.keptBackFor(culprit)).hasValue(CrashSuspects.QUARANTINE);
        fleet.put(culprit.digest(), nowMs - CrashSuspects.QUARANTINE.toMillis());
        assertThat(suspects.keptBackFor(culprit)).isEmpty();
    }

    /** Plays one culprit among sound content on endpoints that also crash for other reasons, with many seeds. */
    @Test
    void theCulpritIsFoundAndSoundContentThatIsAnsweredIsNeverBlamed() {
        for (long seed = 1; seed <= 300; seed++) {
            UniformRandomProvider random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
            CrashSuspects s = new CrashSuspects(Map::of, Time.steady());
            List<RequestContent> sound = new ArrayList<>();
            for (int i = 0; i < 50; i++) {
                sound.add(content("c", "sound-" + i));
            }
            int culpritCrashes = 0;
            for (int step = 0; step < 200; step++) {
                boolean sent = random.nextInt(4) == 0 && s.keptBackFor(culprit).isEmpty();
                culpritCrashes += sent ? 1 : 0;
                if (sent || random.nextInt(20) == 0) {
                    List<ByteString> present = new ArrayList<>();
                    present.add(sound.get(random.nextInt(50)).digest());
                    if (sent) {
                        present.add(culprit.digest());
                    }
                    s.crashed(present);
                }
                sound.forEach(s::answered);
            }
            assertThat(culpritCrashes).isAtMost(CrashSuspects.CRASHES);
            assertThat(sound.stream().allMatch(c -> s.keptBackFor(c).isEmpty())).isTrue();
        }
    }

    private List<ByteString> crash(RequestContent... present) {
        return suspects.crashed(
                Arrays.stream(present).map(RequestContent::digest).toList());
    }

    private static RequestContent content(String account, String body) {
        return new RequestContent(account, HttpMethod.POST, "/x", Unpooled.wrappedBuffer(body.getBytes()));
    }
}
