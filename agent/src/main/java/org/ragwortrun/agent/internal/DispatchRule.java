package org.ragwortrun.agent.internal;

import java.util.Optional;
import org.ragwortrun.core.refusal.Refusal;
import org.ragwortrun.proto.Dispatch;

/** One condition that a dispatch must meet before it is accepted. */
interface DispatchRule {
    /** Returns the refusal of a dispatch that does not meet the condition. */
    Optional<Refusal> check(Dispatch dispatch);
}
