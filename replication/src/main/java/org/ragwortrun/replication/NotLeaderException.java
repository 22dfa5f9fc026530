package org.ragwortrun.replication;

import java.util.Optional;
import org.ragwortrun.core.error.RagwortrunException;

/** Thrown when this member is not the leased leader of the group. The command was not appended. */
public final class NotLeaderException extends RagwortrunException {
    private static final long serialVersionUID = 1L;

    private final int group;
    private final transient Optional<MemberId> leader;

    public NotLeaderException(int group, Optional<MemberId> leader) {
        super("this member is not the leased leader of group " + group);
        this.group = group;
        this.leader = leader;
    }

    public int group() {
        return group;
    }

    /** Returns the member that may be the leader. */
    public Optional<MemberId> leader() {
        return leader;
    }

    @Override
    public String type() {
        return "not-leader";
    }
}
