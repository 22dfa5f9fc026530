package org.ragwortrun.net.http;

import java.io.IOException;

/** Thrown when a server returns a status other than 200. */
public final class UnexpectedStatusException extends IOException {
    private static final long serialVersionUID = 1L;

    UnexpectedStatusException(int status) {
        super("status " + status);
    }
}
