package org.ragwortrun.router.internal.flow;

import com.google.protobuf.ByteString;
import java.util.Optional;
import java.util.function.Predicate;
import org.ragwortrun.core.refusal.Refusal;
import org.ragwortrun.core.refusal.RefusalReason;

/** Refuses content that has crashed endpoints. Checked before each dispatch, so that retries stop too. */
public final class SuspectRule {
    private final Predicate<ByteString> refused;

    /**
     * Creates a rule.
     *
     * @param refused returns whether the fleet refuses a content digest; must be thread-safe
     */
    public SuspectRule(Predicate<ByteString> refused) {
        this.refused = refused;
    }

    Optional<Refusal> check(ByteString digest) {
        return refused.test(digest)
                ? Optional.of(Refusal.notRun(
                        RefusalReason.REQUEST_CRASHES_ENDPOINTS,
                        "endpoints crashed repeatedly while running this request"))
                : Optional.empty();
    }
}
