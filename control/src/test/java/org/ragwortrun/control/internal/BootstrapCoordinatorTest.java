package org.ragwortrun.control.internal;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.ragwortrun.proto.JoinRequest;
import org.ragwortrun.proto.Member;

final class BootstrapCoordinatorTest {
    private static final long STEP = BootstrapCoordinator.STABLE_NANOS / 5;
    private final BootstrapCoordinator coordinator = new BootstrapCoordinator("s1", List.of("s1", "s2", "s3"));
    private long now = 7;

    /** Guards against groups that are created without a member that starts a little later. */
    @Test
    void selectsReportedMembersOnceTheyAreStable() {
        ask("m1", "m2");
        now += STEP;
        ask("m3");
        for (int i = 0; i < 4; i++) {
            now += STEP;
            assertThat(ask("m1", "m2", "m3")).isEmpty();
        }
        now += 2 * STEP;
        assertThat(ask("m1", "m2", "m3")).containsExactly("m1", "m2", "m3").inOrder();
    }

    /** Guards against two groups: only the first member creates the group, and the selection does not change later. */
    @Test
    void returnsSameMembersToFirstMemberOnly() {
        for (int i = 0; i < 8; i++) {
            now += STEP;
            ask("m1", "m2", "m3");
        }
        now += STEP;
        ask("m0");
        assertThat(request("m2", true)).isEmpty();
        assertThat(request("m0", true)).isEmpty();
        assertThat(names(request("m1", true))).containsExactly("m1", "m2", "m3");
    }

    /** Guards against a second group if a listed host has storage or is unknown, or if the system has run before. */
    @Test
    void selectsNobodyUnlessAllListedHostsLackStorage() {
        BootstrapCoordinator second = new BootstrapCoordinator("s2", List.of("s1", "s2", "s3"));
        BootstrapCoordinator laterStart = new BootstrapCoordinator("s1", List.of());
        for (int i = 0; i < 10; i++) {
            now += STEP;
            JoinRequest r = report("m1", true);
            assertThat(coordinator.onRequest(0, r, Set.of("s2"), now)).isEmpty();
            assertThat(second.onRequest(0, r, Set.of("s1", "s3"), now)).isEmpty();
            assertThat(laterStart.onRequest(0, r, Set.of(), now)).isEmpty();
        }
    }

    /** Guards against a second group if a member already has the log of an existing one. */
    @Test
    void selectsNobodyIfAMemberHasALog() {
        request("m3", false);
        for (int i = 0; i < 10; i++) {
            now += STEP;
            assertThat(ask("m1", "m2")).isEmpty();
        }
    }

    private List<String> ask(String... names) {
        List<Member> last = List.of();
        for (String name : names) {
            List<Member> selected = request(name, true);
            last = selected.isEmpty() ? last : selected;
        }
        return names(last);
    }

    private List<Member> request(String name, boolean unused) {
        return coordinator.onRequest(0, report(name, unused), Set.of("s2", "s3"), now);
    }

    private static JoinRequest report(String name, boolean unused) {
        return JoinRequest.newBuilder()
                .setMember(Member.newBuilder().setName(name).setIdentity(name + "#1"))
                .setUnused(unused)
                .build();
    }

    private static List<String> names(List<Member> members) {
        return members.stream().map(Member::getName).toList();
    }
}
