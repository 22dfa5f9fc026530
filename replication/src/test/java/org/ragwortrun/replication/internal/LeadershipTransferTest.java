package org.ragwortrun.replication.internal;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;
import org.ragwortrun.proto.GroupMessage;
import org.ragwortrun.replication.GroupStatus.Role;

final class LeadershipTransferTest {
    /** Guards against two holders of the lease while a leadership is handed over. */
    @Test
    void releasesLeaseBeforeRequestingTakeover() {
        CoreFixture fixture = new CoreFixture("c2");
        long now = fixture.lead();
        boolean asked = false;
        for (int i = 0; i < 30 && !asked; i++) {
            fixture.receiveAck(now, "c2#1", 3, now);
            assertThat(fixture.core.leaseUntil(now)).isEqualTo(now + 800);
            now += CoreFixture.TIMEOUT / 2;
            fixture.core.tick(now);
            asked = fixture.sync(now).stream().anyMatch(GroupMessage::hasTakeOver);
        }
        assertThat(asked).isTrue();
        assertThat(fixture.core.role()).isEqualTo(Role.LEADER);
        fixture.receiveAck(now, "c2#1", 3, now);
        assertThat(fixture.core.leaseUntil(now)).isEqualTo(Progress.NEVER);
        assertThat(fixture.core.proposalCapacity()).isEqualTo(0);
        fixture.core.tick(now + CoreFixture.TIMEOUT);
        assertThat(fixture.core.role()).isEqualTo(Role.FOLLOWER);
    }
}
