package org.ragwortrun.router.internal.forward;

import org.ragwortrun.core.error.RagwortrunException;

/** Thrown when the head of a request cannot be used. */
final class MalformedRequestException extends RagwortrunException {
    private static final long serialVersionUID = 1L;

    MalformedRequestException(String detail) {
        super(detail);
    }

    @Override
    public String type() {
        return "malformed-request";
    }
}
