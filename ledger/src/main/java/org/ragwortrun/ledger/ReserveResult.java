package org.ragwortrun.ledger;

import java.util.Optional;
import org.ragwortrun.proto.ReduceGrants;
import org.ragwortrun.proto.RequestGrant;

/** Result of a reservation in a {@link GrantPool}. */
public sealed interface ReserveResult {
    /** The tokens are reserved. */
    record Reserved(Reservation reservation) implements ReserveResult {}

    /**
     * No open grant is large enough. The caller waits for the owner's grant result and then reserves again.
     *
     * @param returns return of grant remainders that are too small for the request, to be sent to the owner first
     * @param request grant request to send to the owner, empty if an earlier one is still unanswered
     */
    record GrantNeeded(Optional<ReduceGrants> returns, Optional<RequestGrant> request) implements ReserveResult {}
}
