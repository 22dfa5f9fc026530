package org.ragwortrun.replication.internal;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.ragwortrun.proto.GroupMessage;
import org.ragwortrun.proto.JoinRequest;
import org.ragwortrun.proto.Member;

final class MemberChangesTest {
    private final CoreFixture fixture = new CoreFixture();
    private final RaftCore core = fixture.core;
    private long now;

    /** Guards against concurrent member changes, and against a member that becomes a voter before it has every entry. */
    @Test
    void replacesIdentityOneChangeAtATime() {
        now = fixture.lead();
        fixture.sync(now);
        advance("c2#1", 3);
        advance("c2#1", 3);
        join("c3#2");
        assertThat(members()).containsExactly("c1#1", "c2#1", "c3#1");
        advance("c2#1", 3);
        assertThat(members()).containsExactly("c1#1", "c2#1", "c3#1", "c3#2?");
        ack("c3#2", 2);
        assertThat(members()).contains("c3#1");
        advance("c2#1", 4);
        assertThat(core.commitIndex()).isEqualTo(4);
        ack("c3#2", 2);
        assertThat(members()).contains("c3#1");
        ack("c3#2", 4);
        assertThat(members()).containsExactly("c1#1", "c2#1", "c3#2?");
        ack("c3#2", 5);
        assertThat(members()).containsExactly("c1#1", "c2#1", "c3#2?");
        advance("c2#1", 5);
        advance("c3#2", 5);
        assertThat(members()).containsExactly("c1#1", "c2#1", "c3#2");
    }

    /** Guards against a removal after which the remaining voters could commit nothing. */
    @Test
    void waitsUntilResultingQuorumIsActive() {
        now = fixture.lead();
        fixture.sync(now);
        advance("c3#1", 3);
        advance("c3#1", 3);
        join("c2#2");
        advance("c3#1", 3);
        advance("c3#1", 4);
        // Without c3, the removal of c2#1 would leave c1 alone in a set of two.
        now += CoreFixture.TIMEOUT;
        ack("c2#2", 4);
        assertThat(members()).containsExactly("c1#1", "c2#1", "c3#1", "c2#2?");
    }

    /** Guards against a second process that joins under the name of an active member. */
    @Test
    void rejectsJoinUnderNameOfActiveMember() {
        now = fixture.lead();
        fixture.sync(now);
        advance("c2#1", 3);
        join("c2#2");
        advance("c2#1", 3);
        assertThat(members()).containsExactly("c1#1", "c2#1", "c3#1");
    }

    /** Guards against a lost host that counts in quorums permanently although another host has replaced it. */
    @Test
    void removesUnreachableVoterAfterReplacement() {
        now = fixture.lead();
        fixture.sync(now);
        advance("c2#1", 3);
        advance("c2#1", 3);
        join("c4#1");
        for (int i = 0; i < 6; i++) {
            advanceBoth("c2#1", "c4#1");
        }
        assertThat(members()).containsExactly("c1#1", "c2#1", "c3#1", "c4#1");
        for (int i = 0; i < 12; i++) {
            advanceBoth("c2#1", "c4#1");
        }
        assertThat(members()).containsExactly("c1#1", "c2#1", "c4#1");
    }

    /** Guards against a partition that shrinks the group: with an odd number of voters, no voter has been replaced. */
    @Test
    void keepsUnreachableVoterWithoutReplacement() {
        now = fixture.lead();
        fixture.sync(now);
        for (int i = 0; i < 30; i++) {
            advance("c2#1", core.lastIndex());
        }
        assertThat(members()).containsExactly("c1#1", "c2#1", "c3#1");
    }

    private void advanceBoth(String first, String second) {
        now += CoreFixture.TIMEOUT / 2;
        ack(first, core.lastIndex());
        ack(second, core.lastIndex());
        core.tick(now);
        fixture.sync(now);
    }

    private void join(String identity) {
        Member member = Member.newBuilder()
                .setName(identity.substring(0, 2))
                .setIdentity(identity)
                .build();
        core.receive(
                now,
                GroupMessage.newBuilder()
                        .setJoinRequest(JoinRequest.newBuilder().setMember(member))
                        .build());
    }

    private void ack(String identity, long match) {
        fixture.receiveAck(now, identity, match, now);
        fixture.sync(now);
    }

    /** Advances time by half an election timeout, lets one member acknowledge and triggers a heartbeat. */
    private void advance(String identity, long match) {
        now += CoreFixture.TIMEOUT / 2;
        ack(identity, match);
        core.tick(now);
        fixture.sync(now);
    }

    /** Returns the identities in the newest member set, with a question mark after learners. */
    private List<String> members() {
        return core.members().getMembersList().stream()
                .map(m -> m.getIdentity() + (m.getVoter() ? "" : "?"))
                .toList();
    }
}
