package org.ragwortrun.replication.internal;

import static com.google.common.truth.Truth.assertThat;

import com.google.protobuf.ByteString;
import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.ragwortrun.replication.GroupStatus.Role;

final class LeadershipTest {
    private final CoreFixture fixture = new CoreFixture();
    private final RaftCore core = fixture.core;
    private long now;

    @BeforeEach
    void lead() {
        now = fixture.lead();
        assertThat(core.role()).isEqualTo(Role.LEADER);
        fixture.sync(now);
    }

    /** Guards against an entry of an earlier term that is reported as committed and later replaced. */
    @Test
    void commitsEarlierTermsOnlyWithEntryOfCurrentTerm() {
        fixture.receiveAck(now, "c2#1", 2, now);
        assertThat(core.commitIndex()).isEqualTo(0);
        fixture.receiveAck(now, "c2#1", 3, now);
        assertThat(core.commitIndex()).isEqualTo(3);
    }

    /** Guards against a commit or a lease based on the acknowledgement of an identity that is not a voter. */
    @Test
    void ignoresAcknowledgementOfUnknownIdentity() {
        fixture.receiveAck(now, "c2#2", 3, now);
        assertThat(core.commitIndex()).isEqualTo(0);
        assertThat(core.leaseUntil(now)).isEqualTo(Progress.NEVER);
    }

    /** Guards against a commit that counts the leader's own entry before it is synced. */
    @Test
    void countsOwnEntriesOnlyAfterSync() {
        fixture.receiveAck(now, "c2#1", 3, now);
        core.propose(now, List.of(ByteString.copyFromUtf8("a")));
        fixture.messages();
        fixture.receiveAck(now, "c2#1", 4, now);
        assertThat(core.commitIndex()).isEqualTo(3);
        fixture.sync(now);
        assertThat(core.commitIndex()).isEqualTo(4);
    }

    /** Guards against a lease that starts when a heartbeat is acknowledged instead of when it was sent. */
    @Test
    void leaseRunsFromSendingTime() {
        long sent = now;
        now += CoreFixture.TIMEOUT / 2;
        fixture.receiveAck(now, "c2#1", 3, sent);
        assertThat(core.leaseUntil(now)).isEqualTo(sent + 800);
    }

    /** Guards against a leader that remains leader with the acknowledgements of a minority. */
    @Test
    void stepsDownWithoutMajority() {
        fixture.receiveAck(now, "c2#1", 3, now);
        core.tick(now + CoreFixture.TIMEOUT);
        assertThat(core.role()).isEqualTo(Role.LEADER);
        core.tick(now + CoreFixture.TIMEOUT + 1);
        assertThat(core.role()).isEqualTo(Role.FOLLOWER);
        assertThat(core.takeOutputs(1).leadershipLost()).isTrue();
    }
}
