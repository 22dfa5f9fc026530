package org.ragwortrun.router.internal.flow;

import com.google.protobuf.ByteString;
import java.util.Optional;
import java.util.function.Predicate;
import org.ragwortrun.core.refusal.Refusal;
import org.ragwortrun.core.refusal.RefusalReason;
import org.ragwortrun.router.internal.evidence.PartQuarantine;
import org.ragwortrun.router.internal.request.AdmittedRequest;

/**
 * Refuses content and parts of prompts that have crashed endpoints. Checked before each dispatch, so that retries stop
 * too.
 */
public final class SuspectRule {
    private final Predicate<ByteString> refused;
    private final PartQuarantine parts;

    /**
     * Creates a rule.
     *
     * @param refused returns whether the fleet refuses a content digest; must be thread-safe
     */
    public SuspectRule(Predicate<ByteString> refused, PartQuarantine parts) {
        this.refused = refused;
        this.parts = parts;
    }

    Optional<Refusal> check(AdmittedRequest request) {
        if (refused.test(request.digest())) {
            return Optional.of(Refusal.notRun(
                    RefusalReason.REQUEST_CRASHES_ENDPOINTS,
                    "endpoints crashed repeatedly while running this request"));
        }
        return parts.refusal(request.sharedParts());
    }

    /** Records a complete and successful answer. */
    void onAnswered(AdmittedRequest request) {
        parts.onAnswered(request.sharedParts());
    }
}
