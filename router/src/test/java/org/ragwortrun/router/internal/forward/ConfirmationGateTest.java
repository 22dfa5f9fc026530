package org.ragwortrun.router.internal.forward;

import static com.google.common.truth.Truth.assertThat;

import io.netty.channel.embedded.EmbeddedChannel;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.ragwortrun.core.concurrent.StandstillMonitor;
import org.ragwortrun.core.config.Configuration;
import org.ragwortrun.core.config.ConfigurationException;
import org.ragwortrun.core.metrics.Metrics;
import org.ragwortrun.core.time.Time;

final class ConfirmationGateTest {
    private static final long MAX_WAIT_MS = ConfirmationGate.MAX_WAIT.toMillis();
    private static final long RECENT_MS = 2_000;
    private static final long TICK_MS = StandstillMonitor.INTERVAL.toMillis();

    private final EmbeddedChannel channel = new EmbeddedChannel();
    private final Time time = new Time() {
        @Override
        public long nanos() {
            return TimeUnit.MILLISECONDS.toNanos(nowMs);
        }

        @Override
        public long wallMillis() {
            return nowMs;
        }
    };
    private long nowMs = 100_000;
    private long confirmedAtMs = nowMs;
    private final FakeConfigurationSource source = new FakeConfigurationSource();
    private int served;
    private final StandstillMonitor standstills = new StandstillMonitor(time, Metrics.local());
    private final ConfirmationGate gate =
            new ConfirmationGate(source, standstills, channel.eventLoop(), Runnable::run, Metrics.local(), time);

    @BeforeEach
    void start() throws ConfigurationException {
        source.configuration = Optional.of(Configuration.of(1, List.of(), List.of(), List.of()));
        source.recent = () -> nowMs - confirmedAtMs < RECENT_MS;
        channel.freezeTime();
    }

    @AfterEach
    void stop() {
        channel.finishAndReleaseAll();
    }

    /** Guards against requests that a woken process follows by what it knew before it stood still. */
    @Test
    void holdsRequestsOfWokenProcessUntilConfirmation() {
        standStill(3_000);
        request();
        run(40);
        assertThat(served).isEqualTo(0);
        assertThat(source.confirmationsRequested).isEqualTo(1);
        confirm();
        assertThat(served).isEqualTo(1);
    }

    /** Guards against a confirmation that was requested before the standstill and answered after it. */
    @Test
    void asksAgainAfterOldConfirmation() {
        standStill(3_000);
        request();
        gate.onConfirmed();
        assertThat(served).isEqualTo(0);
        assertThat(source.confirmationsRequested).isEqualTo(2);
    }

    /** Guards against a host without a way to the members whose callers wait for their time limits. */
    @Test
    void servesAfterLongestWait() {
        standStill(3_000);
        source.unansweredSinceNanos = OptionalLong.of(time.nanos());
        request();
        run(MAX_WAIT_MS + 10);
        assertThat(served).isEqualTo(1);
        request();
        assertThat(served).isEqualTo(2);
    }

    /** Guards against a wait at a host that has been cut off for a while. */
    @Test
    void holdsNothingWhileCutOff() {
        source.unansweredSinceNanos = OptionalLong.of(time.nanos());
        run(RECENT_MS + 10);
        request();
        assertThat(served).isEqualTo(1);
    }

    /** Guards against a call that went unanswered only because the process stood still. */
    @Test
    void holdsRequestsThoughCallBeforeStandstillIsUnanswered() {
        source.unansweredSinceNanos = OptionalLong.of(time.nanos());
        standStill(3_000);
        request();
        assertThat(served).isEqualTo(0);
    }

    /** Guards against a wait that ends because its timer runs after a second standstill. */
    @Test
    void waitsAgainAfterStandstillDuringWait() {
        standStill(3_000);
        request();
        standStill(3_000);
        runTimers(3_000);
        assertThat(served).isEqualTo(0);
        run(MAX_WAIT_MS + 10);
        assertThat(served).isEqualTo(1);
    }

    /** Guards against a process that never serves because it stands still again and again. */
    @Test
    void servesAfterSomeStandstills() {
        standStill(3_000);
        request();
        for (int i = 0; i < 7; i++) {
            standStill(3_000);
            runTimers(3_000);
        }
        assertThat(served).isEqualTo(1);
    }

    /** Guards against a process that wakes while the members elect a leader and serves by what it knew before. */
    @Test
    void waitsForElectionWhileMembersAreReached() {
        source.reachesMembers = true;
        standStill(3_000);
        source.unansweredSinceNanos = OptionalLong.of(time.nanos());
        request();
        run(MAX_WAIT_MS + 500);
        assertThat(served).isEqualTo(0);
        run(500);
        assertThat(served).isEqualTo(1);
    }

    /** Guards against a host that takes an earlier cut for the present one. */
    @Test
    void holdsRequestsAgainAfterLaterStandstill() {
        standStill(3_000);
        request();
        run(MAX_WAIT_MS + 10);
        standStill(3_000);
        request();
        assertThat(served).isEqualTo(1);
    }

    /** Guards against a host that serves by an old configuration for good once it has not been confirmed in time. */
    @Test
    void holdsRequestsAgainAfterLeaderIsHeard() {
        source.reachesMembers = true;
        standStill(3_000);
        source.unansweredSinceNanos = OptionalLong.of(time.nanos());
        request();
        run(ConfirmationGate.MAX_ELECTION_WAIT.toMillis() + 10);
        request();
        assertThat(served).isEqualTo(2);
        run(MAX_WAIT_MS);
        source.leaderHeardNanos = OptionalLong.of(time.nanos());
        request();
        assertThat(served).isEqualTo(2);
        run(ConfirmationGate.MAX_ELECTION_WAIT.toMillis() + 10);
        assertThat(served).isEqualTo(3);
    }

    /** Guards against a host that takes itself for cut off because only its own calls are not answered. */
    @Test
    void holdsRequestsWhileLeaderIsHeard() {
        source.reachesMembers = true;
        source.unansweredSinceNanos = OptionalLong.of(time.nanos());
        run(RECENT_MS + 10);
        source.leaderHeardNanos = OptionalLong.of(time.nanos());
        request();
        assertThat(served).isEqualTo(0);
        confirm();
        assertThat(served).isEqualTo(1);
    }

    private void request() {
        gate.pass(() -> served++);
    }

    private void confirm() {
        confirmedAtMs = nowMs;
        source.unansweredSinceNanos = OptionalLong.empty();
        gate.onConfirmed();
    }

    /** Lets time pass while nothing of this process runs. */
    private void standStill(long ms) {
        nowMs += ms;
    }

    /** Lets time pass while this process runs. */
    private void run(long ms) {
        standstills.check();
        long end = nowMs + ms;
        while (nowMs < end) {
            long step = Math.min(TICK_MS, end - nowMs);
            nowMs += step;
            standstills.check();
            runTimers(step);
        }
    }

    private void runTimers(long ms) {
        channel.advanceTimeBy(ms, TimeUnit.MILLISECONDS);
        channel.runScheduledPendingTasks();
    }
}
