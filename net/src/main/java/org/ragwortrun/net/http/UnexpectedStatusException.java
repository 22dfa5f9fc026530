package org.ragwortrun.net.http;

import java.io.IOException;

/** Thrown when a server answers with another status than 200. */
public final class UnexpectedStatusException extends IOException {
    private static final long serialVersionUID = 1L;

    UnexpectedStatusException(int status) {
        super("status " + status);
    }
}
