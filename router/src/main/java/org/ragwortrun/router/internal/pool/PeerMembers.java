package org.ragwortrun.router.internal.pool;

import java.time.Duration;
import java.util.List;
import java.util.function.Consumer;
import org.ragwortrun.net.control.MemberSource;
import org.ragwortrun.proto.Frame;
import org.ragwortrun.proto.Member;
import org.ragwortrun.proto.MembersQuery;

/** Asks other routers for the control members that they know. */
public final class PeerMembers implements MemberSource {
    private static final Duration TIMEOUT = Duration.ofMillis(800);

    private final PeerLinks links;

    public PeerMembers(PeerLinks links) {
        this.links = links;
    }

    @Override
    public String name() {
        return "routers";
    }

    @Override
    public void find(Consumer<List<Member>> receiver) {
        Frame.Builder query = Frame.newBuilder().setMembersQuery(MembersQuery.getDefaultInstance());
        links.neighbors()
                .forEach(r -> links.call(r, query.clone(), TIMEOUT).thenAccept(reply -> {
                    List<Member> members = reply.getMembersReply().getMembersList();
                    if (!members.isEmpty()) {
                        receiver.accept(members);
                    }
                }));
    }
}
