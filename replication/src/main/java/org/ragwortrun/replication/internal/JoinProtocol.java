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
 * A member that is no voter asks to join; the first listed member founds the group.
 *
 * <p>Only the founder, the first name of the bootstrap list that has storage, creates the first member set, and only
 * after every listed member has reported lately, under the identity that goes into the set, that it has never held a
 * log entry or given a vote, and no member has answered that it has. A majority would not suffice: a wiped founder and
 * a member that has not started yet could found a second group while the only member with the log is unreachable. The
 * others get the first entry by replication. If the founder loses its disk after another member has given it a vote and
 * before that member holds an entry, nothing founds the group any more, and all folders must be cleared; there is
 * nothing in them yet. A member whose disk was wiped has an identity that is in no member set, so it counts as a voter
 * only after it has joined.
 */
final class JoinProtocol {
    // A report must be repeated within this many request intervals to count.
    private static final int REPORT_INTERVALS = 4;
    // Hosts without storage that are told of this member ask the leader for the others.
    private static final int NOTICE_INTERVALS = 4;

    private final RaftCore core;
    private final Map<String, Report> unused = new HashMap<>();
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

    /** Sends a request to the listed hosts that fulfil a condition. It also tells a host without storage of this one. */
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
        Member asking = r.getMember();
        if (r.getUnused()) {
            unused.put(asking.getName(), new Report(asking, now));
        } else {
            unused.remove(asking.getName());
        }
        Leadership leadership = core.leadership();
        if (leadership != null) {
            leadership.onJoinRequest(asking);
        }
        if (core.state().getStarted()) {
            JoinReply.Builder reply = JoinReply.newBuilder()
                    .setAccepted(leadership != null)
                    .setLeaderName(core.leader().map(Member::getName).orElse(""))
                    .setReason("group-exists");
            core.send(
                    asking.getName(),
                    asking.getIdentity(),
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
                .map(unused::get)
                .map(r -> r == null ? core.settings().self(core.identity()) : r.member())
                .toList());
    }

    private void bootstrap(List<Member> founders) {
        MemberSet.Builder set = MemberSet.newBuilder();
        founders.forEach(m -> set.addMembers(m.toBuilder().setVoter(true)));
        // The entry is written before the state record: a founder that crashes between the two must not find itself
        // started without a log, because then nobody would found the group.
        core.append(List.of(LogEntry.newBuilder()
                .setIndex(1)
                .setTerm(core.term() + 1)
                .setMembers(set)
                .build()));
        core.event(Event.of("group-founded")
                .with("members", founders.stream().map(Member::getName).collect(Collectors.joining(","))));
    }

    /**
     * Tells whether this member may found the group with members that a host without storage has named. Only the first
     * of them may, and only when no listed host has storage, so that nobody else founds.
     */
    private boolean canBootstrap(List<Member> founders) {
        return !founders.isEmpty()
                && founders.get(0).getIdentity().equals(core.identity())
                && core.role() == Role.LEARNER
                && !core.state().getStarted()
                && !groupExists
                && !core.settings().bootstrap().isEmpty()
                && candidates().findAny().isEmpty();
    }

    /** Returns the listed members that have not said that they have no storage. */
    private Stream<String> candidates() {
        return core.settings().bootstrap().stream().filter(name -> !withoutStorage.contains(name));
    }

    private boolean isReported(long now, String name) {
        Report report = unused.get(name);
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
