package org.ragwortrun.ledger;

import java.util.Optional;
import org.ragwortrun.proto.ReduceGrants;
import org.ragwortrun.proto.RequestGrant;

/** Answer of a {@link GrantPool} to a request for tokens. */
public sealed interface ReserveResult {
    /** The tokens are set aside. */
    record Reserved(Reservation reservation) implements ReserveResult {}

    /**
     * No open grant suffices; the request waits for the owner's answer and then reserves again.
     *
     * @param giveBack parts of grants that are too small for the request, to be sent to the owner first
     * @param ask request for the owner, empty if an earlier one is still unanswered
     */
    record NeedMore(Optional<ReduceGrants> giveBack, Optional<RequestGrant> ask) implements ReserveResult {}
}
