package org.ragwortrun.replication.internal;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.ragwortrun.core.log.Event;
import org.ragwortrun.proto.GroupMessage;
import org.ragwortrun.proto.JoinReply;
import org.ragwortrun.proto.JoinRequest;
import org.ragwortrun.proto.LogEntry;
import org.ragwortrun.proto.Member;
import org.ragwortrun.proto.MemberSet;
import org.ragwortrun.replication.GroupStatus.Role;

/**
 * Requests membership for a member that is not a voter, and bootstraps the group on the first listed member.
 *
 * <p>Only the first member of the bootstrap list that has storage creates the initial member set. It does so only after
 * every listed member has recently reported, under the identity that goes into the set, that it has never held a log
 * entry or given a vote, and no member has replied that the group exists. A majority of reports would not suffice: a
 * wiped first member and a member that has not started yet could bootstrap a second group while the only member with
 * the log is unreachable. The other members receive the first entry by replication.
 *
 * <p>If the first member loses its disk after another member has voted for it but before that member holds an entry, the
 * group can no longer be bootstrapped, and all folders must be cleared; they contain no data yet. A member whose disk
 * was wiped has an identity that is in no member set, so it counts as a voter only after it has joined.
 */
final class JoinProtocol {
    // A report expires after this many request intervals.
    private static final int REPORT_INTERVALS = 4;
    // A member sends requests to the listed hosts that are not members once in this many request intervals. Hosts
    // without storage learn of this member from them and ask the leader for the other members.
    private static final int NOTICE_INTERVALS = 4;

    private final RaftCore core;
    private final Map<String, Report> unusedReports = new HashMap<>();
    private final Set<String> withoutStorage = new HashSet<>();
    private boolean groupExists;
    private boolean waitingLogged;
    private long nextRequest;
    private long nextNotice;

    private record Report(Member member, long time) {}

    JoinProtocol(RaftCore core, long now) {
        this.core = core;
        nextRequest = now;
        nextNotice = now;
    }

    long nextRequest() {
        return nextRequest;
    }

    void tick(long now) {
        if (now - nextRequest < 0) {
            return;
        }
        nextRequest = now + interval();
        if (core.isVoter() || core.hasRecentLeader(now) && core.leader().isPresent()) {
            if (now - nextNotice >= 0) {
                nextNotice = now + NOTICE_INTERVALS * interval();
                request(name -> !isMember(name));
            }
            return;
        }
        boolean isUnused = !core.state().getStarted();
        request(name -> true);
        if (isUnused && isBootstrapper() && !groupExists) {
            bootstrap(now);
        }
    }

    /** Sends a join request to the listed hosts that match. Hosts without storage learn of this host from it. */
    private void request(Predicate<String> condition) {
        JoinRequest.Builder request = JoinRequest.newBuilder()
                .setMember(core.settings().self(core.identity()))
                .setUnused(!core.state().getStarted());
        core.settings().others().stream()
                .filter(condition)
                .forEach(name -> core.send(name, "", GroupMessage.newBuilder().setJoinRequest(request)));
    }

    private boolean isMember(String name) {
        return core.members().getMembersList().stream()
                .anyMatch(m -> m.getName().equals(name));
    }

    void onRequest(long now, JoinRequest r) {
        Member joining = r.getMember();
        if (r.getUnused()) {
            unusedReports.put(joining.getName(), new Report(joining, now));
        } else {
            unusedReports.remove(joining.getName());
        }
        Leadership leadership = core.leadership();
        if (leadership != null) {
            leadership.onJoinRequest(joining);
        }
        if (core.state().getStarted()) {
            JoinReply.Builder reply = JoinReply.newBuilder()
                    .setAccepted(leadership != null)
                    .setLeaderName(core.leader().map(Member::getName).orElse(""))
                    .setReason("group-exists");
            core.send(
                    joining.getName(),
                    joining.getIdentity(),
                    GroupMessage.newBuilder().setJoinReply(reply));
        }
    }

    void onReply(String from, JoinReply reply) {
        if (reply.getWithoutStorage()) {
            withoutStorage.add(from);
            if (canBootstrap(reply.getFoundersList())) {
                bootstrap(reply.getFoundersList());
            }
            return;
        }
        if (!groupExists) {
            core.event(Event.of("join-answered")
                    .with("leader", reply.getLeaderName())
                    .with("reason", reply.getReason()));
        }
        groupExists = true;
    }

    private void bootstrap(long now) {
        List<String> awaited = candidates()
                .filter(name -> !name.equals(core.settings().name()) && !isReported(now, name))
                .toList();
        if (!awaited.isEmpty()) {
            if (!waitingLogged) {
                core.event(Event.of("bootstrap-waiting").with("awaited", String.join(",", awaited)));
            }
            waitingLogged = true;
            return;
        }
        bootstrap(candidates()
                .map(unusedReports::get)
                .map(r -> r == null ? core.settings().self(core.identity()) : r.member())
                .toList());
    }

    private void bootstrap(List<Member> initialMembers) {
        MemberSet.Builder set = MemberSet.newBuilder();
        initialMembers.forEach(m -> set.addMembers(m.toBuilder().setVoter(true)));
        // The entry is written before the state record. In the other order, a crash between the two would leave this
        // member marked as started without a log, and no member would bootstrap the group.
        core.append(List.of(LogEntry.newBuilder()
                .setIndex(1)
                .setTerm(core.term() + 1)
                .setMembers(set)
                .build()));
        core.event(Event.of("group-bootstrapped")
                .with("members", initialMembers.stream().map(Member::getName).collect(Collectors.joining(","))));
    }

    /**
     * Returns whether this member may bootstrap the group with initial members named by a host without storage. Only the
     * first of them may, and only if no listed host has storage, so that no other member bootstraps the group.
     */
    private boolean canBootstrap(List<Member> initialMembers) {
        return !initialMembers.isEmpty()
                && initialMembers.get(0).getIdentity().equals(core.identity())
                && core.role() == Role.LEARNER
                && !core.state().getStarted()
                && !groupExists
                && !core.settings().bootstrap().isEmpty()
                && candidates().findAny().isEmpty();
    }

    /** Returns the listed members except those that have reported to have no storage. */
    private Stream<String> candidates() {
        return core.settings().bootstrap().stream().filter(name -> !withoutStorage.contains(name));
    }

    private boolean isReported(long now, String name) {
        Report report = unusedReports.get(name);
        return report != null && now - report.time() < REPORT_INTERVALS * interval();
    }

    private boolean isBootstrapper() {
        return core.role() == Role.LEARNER
                && candidates()
                        .findFirst()
                        .filter(core.settings().name()::equals)
                        .isPresent();
    }

    private long interval() {
        return core.settings().electionTimeout() / 2;
    }
}
