package org.ragwortrun.routing;

import org.ragwortrun.core.error.RagwortrunException;

/** Thrown when a sender sends more than it was granted. */
public final class BufferOverflowException extends RagwortrunException {
    private static final long serialVersionUID = 1L;

    public BufferOverflowException(int bytes, int granted) {
        super("a chunk of " + bytes + " bytes exceeds the " + granted + " bytes granted");
    }

    @Override
    public String type() {
        return "buffer-overflow";
    }
}
