package org.ragwortrun.net.control;

import org.jspecify.annotations.Nullable;
import org.ragwortrun.core.error.RagwortrunException;

/** Thrown when the platform's list of endpoints cannot be read. */
public final class EndpointSourceException extends RagwortrunException {
    private static final long serialVersionUID = 1L;

    public EndpointSourceException(String detail, @Nullable Throwable cause) {
        super("the list of endpoints cannot be read: " + detail, cause);
    }

    @Override
    public String type() {
        return "endpoint-list-unreadable";
    }
}
