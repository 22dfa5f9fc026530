package org.ragwortrun.net.http;

import java.io.IOException;

/** Thrown when a document is longer than allowed or takes too long. */
public final class EndlessDocumentException extends IOException {
    private static final long serialVersionUID = 1L;

    EndlessDocumentException(String address) {
        super("the document at " + address + " is too long or takes too long to read");
    }
}
