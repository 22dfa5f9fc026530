package org.ragwortrun.core.refusal;

import org.ragwortrun.core.error.RagwortrunException;

/** Thrown when a request is refused. */
public final class RefusedException extends RagwortrunException {
    private static final long serialVersionUID = 1L;

    private final transient Refusal refusal;

    public RefusedException(Refusal refusal) {
        super(refusal.reason().code() + ": " + refusal.detail());
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
