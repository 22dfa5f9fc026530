package org.ragwortrun.replication.internal;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;
import org.ragwortrun.proto.GroupMessage;
import org.ragwortrun.replication.GroupStatus.Role;

final class LeadershipTransferTest {
    /** Guards against two lease holders during a leadership transfer. */
    @Test
    void releasesLeaseBeforeRequestingTakeover() {
        CoreFixture fixture = new CoreFixture("c2");
        long now = fixture.lead();
        boolean requested = false;
        for (int i = 0; i < 30 && !requested; i++) {
            fixture.receiveAck(now, "c2#1", 3, now);
            assertThat(fixture.core.leaseUntil(now)).isEqualTo(now + 800);
            now += CoreFixture.TIMEOUT / 2;
            fixture.core.tick(now);
            requested = fixture.sync(now).stream().anyMatch(GroupMessage::hasTakeOver);
        }
        assertThat(requested).isTrue();
        assertThat(fixture.core.role()).isEqualTo(Role.LEADER);
        fixture.receiveAck(now, "c2#1", 3, now);
        assertThat(fixture.core.leaseUntil(now)).isEqualTo(Progress.NEVER);
        assertThat(fixture.core.proposalCapacity()).isEqualTo(0);
        fixture.core.tick(now + CoreFixture.TIMEOUT);
        assertThat(fixture.core.role()).isEqualTo(Role.FOLLOWER);
    }
}
