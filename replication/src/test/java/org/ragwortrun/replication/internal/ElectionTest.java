package org.ragwortrun.replication.internal;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.ragwortrun.proto.AppendRequest;
import org.ragwortrun.proto.GroupMessage;
import org.ragwortrun.replication.GroupStatus.Role;

final class ElectionTest {
    private static final long LATE = 10 * CoreFixture.TIMEOUT;

    private final CoreFixture fixture = new CoreFixture();

    /** Guards against a vote by a member whose reply before its restart still supports the lease of another leader. */
    @Test
    void withholdsVoteForOneTimeoutAfterRestart() {
        fixture.receiveVoteRequest(CoreFixture.TIMEOUT - 1, "c2", 3, 9, 2);
        assertThat(fixture.sync(CoreFixture.TIMEOUT - 1)).isEmpty();
        assertThat(fixture.core.term()).isEqualTo(2);
        fixture.receiveVoteRequest(CoreFixture.TIMEOUT, "c2", 3, 9, 2);
        assertThat(grants(fixture.sync(CoreFixture.TIMEOUT))).containsExactly(true);
    }

    /** Guards against two lease holders, caused by a member that votes while its reply supports the first lease. */
    @Test
    void withholdsVoteWhileLeaderIsActive() {
        long heartbeat = LATE;
        fixture.core.receive(
                heartbeat,
                GroupMessage.newBuilder()
                        .setFrom("c3")
                        .setAppendRequest(AppendRequest.newBuilder()
                                .setTerm(2)
                                .setPreviousIndex(2)
                                .setPreviousTerm(2)
                                .setIdentity("c3#1"))
                        .build());
        fixture.sync(heartbeat);
        fixture.receiveVoteRequest(heartbeat + CoreFixture.TIMEOUT - 1, "c2", 3, 9, 2);
        assertThat(fixture.sync(heartbeat + CoreFixture.TIMEOUT - 1)).isEmpty();
        fixture.receiveVoteRequest(heartbeat + CoreFixture.TIMEOUT, "c2", 3, 9, 2);
        assertThat(grants(fixture.sync(heartbeat + CoreFixture.TIMEOUT))).containsExactly(true);
    }

    /** Guards against a vote that is lost in a crash, so that the member votes twice in a term. */
    @Test
    void sendsVoteOnlyAfterSync() {
        fixture.receiveVoteRequest(LATE, "c2", 3, 9, 2);
        assertThat(fixture.messages()).isEmpty();
        assertThat(grants(fixture.sync(LATE))).containsExactly(true);
    }

    /** Guards against two leaders in one term. */
    @Test
    void votesOncePerTerm() {
        fixture.receiveVoteRequest(LATE, "c2", 3, 9, 2);
        fixture.sync(LATE);
        fixture.receiveVoteRequest(LATE, "c3", 3, 9, 2);
        assertThat(grants(fixture.sync(LATE))).containsExactly(false);
    }

    /** Guards against a leader that lacks committed entries. */
    @Test
    void deniesVoteToOutdatedLog() {
        fixture.receiveVoteRequest(LATE, "c2", 3, 1, 2);
        fixture.receiveVoteRequest(LATE, "c2", 4, 9, 1);
        assertThat(grants(fixture.sync(LATE))).containsExactly(false, false);
    }

    /** Guards against a leader elected by identities that are not voters, such as that of a wiped member. */
    @Test
    void ignoresVoteOfUnknownIdentity() {
        while (fixture.core.role() != Role.CANDIDATE) {
            fixture.core.tick(fixture.core.nextTick());
        }
        fixture.receiveVote(LATE, "c2#2", 3, true);
        fixture.sync(LATE);
        assertThat(fixture.core.term()).isEqualTo(2);
        fixture.receiveVote(LATE, "c2#1", 3, true);
        fixture.sync(LATE);
        fixture.receiveVote(LATE, "c2#2", 3, false);
        assertThat(fixture.core.role()).isEqualTo(Role.CANDIDATE);
        fixture.receiveVote(LATE, "c2#1", 3, false);
        assertThat(fixture.core.role()).isEqualTo(Role.LEADER);
    }

    private static List<Boolean> grants(List<GroupMessage> messages) {
        return messages.stream()
                .filter(GroupMessage::hasVoteReply)
                .map(m -> m.getVoteReply().getGranted())
                .toList();
    }
}
