package org.ragwortrun.core.refusal;

import org.jspecify.annotations.Nullable;
import org.ragwortrun.core.error.RagwortrunException;

/** Thrown when a request is refused. */
public final class RefusedException extends RagwortrunException {
    private static final long serialVersionUID = 1L;

    private final transient Refusal refusal;

    public RefusedException(Refusal refusal) {
        this(refusal, null);
    }

    /** Creates a refusal caused by another failure. */
    public RefusedException(Refusal refusal, @Nullable Throwable cause) {
        super(refusal.reason().code() + ": " + refusal.detail(), cause);
        this.refusal = refusal;
    }

    public Refusal refusal() {
        return refusal;
    }

    @Override
    public String type() {
        return refusal.reason().code();
    }
}
