package org.ragwortrun.net.control;

import java.util.List;
import java.util.function.Consumer;
import org.ragwortrun.proto.Member;

/** A source of the control members other than the leader, for a process that no leader answers. */
public interface MemberSource {
    /** Returns the name of the source for logs. */
    String name();

    /**
     * Starts a search without waiting for its end.
     *
     * @param receiver receives each result that is not empty, on any thread
     */
    void find(Consumer<List<Member>> receiver);
}
