package org.ragwortrun.replication.internal;

import java.util.List;
import java.util.Optional;
import java.util.function.Predicate;
import java.util.function.ToLongFunction;
import java.util.stream.Stream;
import org.ragwortrun.proto.Member;
import org.ragwortrun.proto.MemberSet;

/** Quorum rules and changes of a member set. Only voters count in quorums. */
final class Members {
    private Members() {}

    static Stream<Member> voters(MemberSet set) {
        return set.getMembersList().stream().filter(Member::getVoter);
    }

    static boolean isVoter(MemberSet set, String identity) {
        return voters(set).anyMatch(m -> m.getIdentity().equals(identity));
    }

    static Optional<Member> find(MemberSet set, String identity) {
        return set.getMembersList().stream()
                .filter(m -> m.getIdentity().equals(identity))
                .findFirst();
    }

    static int quorum(MemberSet set) {
        return (int) voters(set).count() / 2 + 1;
    }

    static boolean hasQuorum(MemberSet set, Predicate<String> identities) {
        return voters(set).filter(m -> identities.test(m.getIdentity())).count() >= quorum(set);
    }

    /** Returns the greatest value that a quorum of voters has reached. */
    static long reachedByQuorum(MemberSet set, ToLongFunction<String> value) {
        List<Long> sorted = voters(set)
                .map(m -> value.applyAsLong(m.getIdentity()))
                .sorted()
                .toList();
        return sorted.isEmpty() ? Long.MIN_VALUE : sorted.get(sorted.size() - quorum(set));
    }

    static MemberSet without(MemberSet set, String identity) {
        return MemberSet.newBuilder()
                .addAllMembers(set.getMembersList().stream()
                        .filter(m -> !m.getIdentity().equals(identity))
                        .toList())
                .build();
    }

    static MemberSet with(MemberSet set, Member member) {
        return without(set, member.getIdentity()).toBuilder().addMembers(member).build();
    }
}
