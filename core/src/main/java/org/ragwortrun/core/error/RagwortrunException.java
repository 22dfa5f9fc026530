package org.ragwortrun.core.error;

import org.jspecify.annotations.Nullable;

/** Base of all checked failures of the project. */
public abstract class RagwortrunException extends Exception {
    private static final long serialVersionUID = 1L;

    protected RagwortrunException(String message) {
        super(message);
    }

    protected RagwortrunException(String message, @Nullable Throwable cause) {
        super(message, cause);
    }

    /** Returns the stable name of this failure in logs, metrics and error replies. */
    public abstract String type();
}
