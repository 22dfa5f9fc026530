package org.ragwortrun.replication.internal;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
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
 * <p>Only the founder, the first name of the bootstrap list, creates the first member set, and only after every listed
 * member has reported lately, under the identity that goes into the set, that it has never held a log entry or given a
 * vote, and no member has answered that it has. A majority would not suffice: a wiped founder and a member that has not
 * started yet could found a second group while the only member with the log is unreachable. The others get the first
 * entry by replication. If the founder loses its disk after another member has given it a vote and before that member
 * holds an entry, nothing founds the group any more, and all folders must be cleared; there is nothing in them yet. A member whose disk was wiped has an identity that is in no member set, so it counts as a voter
 * only after it has joined.
 */
final class Joining {
    // A report must be repeated within this many request intervals to count.
    private static final int REPORT_INTERVALS = 4;

    private final RaftCore core;
    private final Map<String, Report> unused = new HashMap<>();
    private boolean groupExists;
    private boolean waitingLogged;
    private long nextRequest;

    private record Report(Member member, long time) {}

    Joining(RaftCore core, long now) {
        this.core = core;
        nextRequest = now;
    }

    long nextRequest() {
        return nextRequest;
    }

    void tick(long now) {
        if (now - nextRequest < 0) {
            return;
        }
        nextRequest = now + interval();
        if (core.isVoter() || core.heardOfLeader(now) && core.leader().isPresent()) {
            return;
        }
        boolean isUnused = !core.state().getStarted();
        JoinRequest.Builder request = JoinRequest.newBuilder()
                .setMember(core.settings().self(core.identity()))
                .setUnused(isUnused);
        core.settings()
                .others()
                .forEach(name -> core.send(name, "", GroupMessage.newBuilder().setJoinRequest(request)));
        if (isUnused && isFounder() && !groupExists) {
            found(now);
        }
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

    void onReply(JoinReply reply) {
        if (!groupExists) {
            core.event(Event.of("join-answered")
                    .with("leader", reply.getLeaderName())
                    .with("reason", reply.getReason()));
        }
        groupExists = true;
    }

    private void found(long now) {
        List<String> awaited = core.settings().bootstrap().stream()
                .filter(name -> !name.equals(core.settings().name()) && !isReported(now, name))
                .toList();
        if (!awaited.isEmpty()) {
            if (!waitingLogged) {
                core.event(Event.of("bootstrap-waiting").with("awaited", String.join(",", awaited)));
            }
            waitingLogged = true;
            return;
        }
        MemberSet.Builder set = MemberSet.newBuilder();
        for (String name : core.settings().bootstrap()) {
            Report report = unused.get(name);
            Member member = report == null ? core.settings().self(core.identity()) : report.member();
            set.addMembers(member.toBuilder().setVoter(true));
        }
        // The entry is written before the state record: a founder that crashes between the two must not find itself
        // started without a log, because then nobody would found the group.
        core.append(List.of(LogEntry.newBuilder()
                .setIndex(1)
                .setTerm(core.term() + 1)
                .setMembers(set)
                .build()));
        core.event(Event.of("group-founded")
                .with("members", String.join(",", core.settings().bootstrap())));
    }

    private boolean isReported(long now, String name) {
        Report report = unused.get(name);
        return report != null && now - report.time() < REPORT_INTERVALS * interval();
    }

    private boolean isFounder() {
        List<String> names = core.settings().bootstrap();
        return core.role() == Role.LEARNER
                && !names.isEmpty()
                && names.get(0).equals(core.settings().name());
    }

    private long interval() {
        return core.settings().electionTimeout() / 2;
    }
}
