package org.ragwortrun.router.internal.pool;

import java.util.List;
import java.util.function.Supplier;
import org.ragwortrun.net.FrameHandler;
import org.ragwortrun.net.Peer;
import org.ragwortrun.net.Replies;
import org.ragwortrun.proto.Frame;
import org.ragwortrun.proto.Member;
import org.ragwortrun.proto.MembersReply;

/**
 * Tells other routers the control members that this router knows.
 *
 * @param members returns the members that a leader has named lately, empty if none has
 */
public record MembersServer(Supplier<List<Member>> members) implements FrameHandler {
    @Override
    public void onFrame(Peer peer, Frame frame) {
        peer.send(Replies.to(frame)
                .setMembersReply(MembersReply.newBuilder().addAllMembers(members.get()))
                .build());
    }
}
