package org.ragwortrun.control.internal;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.ragwortrun.proto.JoinRequest;
import org.ragwortrun.proto.Member;

final class FoundingTest {
    private static final long STEP = Founding.STABLE_NANOS / 5;
    private final Founding founding = new Founding("s1", List.of("s1", "s2", "s3"));
    private long now = 7;

    /** Guards against groups that are founded without a member that starts a little later. */
    @Test
    void namesThoseThatHaveReportedOnceNobodyNewComes() {
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

    /** Guards against two groups: only the first member founds, and the named ones stay the same. */
    @Test
    void namesTheSameMembersAgainToTheFirstOnly() {
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

    /** Guards against a second group when a listed host has storage, is unknown, or the system has run before. */
    @Test
    void namesNobodyUnlessNoListedHostHasStorage() {
        Founding second = new Founding("s2", List.of("s1", "s2", "s3"));
        Founding later = new Founding("s1", List.of());
        for (int i = 0; i < 10; i++) {
            now += STEP;
            JoinRequest r = report("m1", true);
            assertThat(founding.onRequest(0, r, Set.of("s2"), now)).isEmpty();
            assertThat(second.onRequest(0, r, Set.of("s1", "s3"), now)).isEmpty();
            assertThat(later.onRequest(0, r, Set.of(), now)).isEmpty();
        }
    }

    /** Guards against a second group beside one of which a member has a log. */
    @Test
    void namesNobodyOnceAMemberHasALog() {
        request("m3", false);
        for (int i = 0; i < 10; i++) {
            now += STEP;
            assertThat(ask("m1", "m2")).isEmpty();
        }
    }

    private List<String> ask(String... names) {
        List<Member> last = List.of();
        for (String name : names) {
            List<Member> named = request(name, true);
            last = named.isEmpty() ? last : named;
        }
        return names(last);
    }

    private List<Member> request(String name, boolean unused) {
        return founding.onRequest(0, report(name, unused), Set.of("s2", "s3"), now);
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
