package org.ragwortrun.control.internal;

import java.util.List;
import java.util.OptionalLong;
import org.ragwortrun.proto.GroupState;
import org.ragwortrun.proto.Member;
import org.ragwortrun.proto.NotLeader;

/** A replicated group as the daemon's handlers see it. */
public interface Group {
    int id();

    /** Returns the term in which this member leads the group under a lease, or nothing. */
    OptionalLong leasedTerm();

    /** Returns where the leader is believed to be. */
    NotLeader hint();

    GroupState state();

    /** Returns the members that this member knows of, voters and others. */
    List<Member> members();
}
