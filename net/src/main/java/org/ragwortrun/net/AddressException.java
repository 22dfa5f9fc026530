package org.ragwortrun.net;

import org.ragwortrun.core.error.RagwortrunException;

/** Thrown when a text is not an IP address with a port. */
public final class AddressException extends RagwortrunException {
    private static final long serialVersionUID = 1L;

    public AddressException(String text) {
        super("\"" + text + "\" is not an address of the form ip:port");
    }

    @Override
    public String type() {
        return "invalid-address";
    }
}
