package org.ragwortrun.control.internal;

import java.util.List;
import java.util.OptionalLong;
import org.ragwortrun.proto.GroupState;
import org.ragwortrun.proto.Member;
import org.ragwortrun.proto.NotLeader;

/** A replicated group as seen by the request handlers. */
public interface Group {
    int id();

    /** Returns the term in which this member leads the group under a lease, or empty. */
    OptionalLong leasedTerm();

    /** Returns the name and address of the presumed leader. */
    NotLeader hint();

    GroupState state();

    /** Returns the members known to this member, voters and learners. */
    List<Member> members();
}
