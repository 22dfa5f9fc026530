package org.ragwortrun.net;

import java.util.Locale;
import org.jspecify.annotations.Nullable;
import org.ragwortrun.core.error.RagwortrunException;

/** Thrown when a frame could not be delivered or no reply was received. */
public final class TransportException extends RagwortrunException {
    private static final long serialVersionUID = 1L;

    /** Kind of failure, which shows whether the frame may have reached the peer. */
    public enum Kind {
        /** The frame was never handed to the network. */
        NOT_SENT,
        /** The connection ended after the frame was handed to the network. */
        CONNECTION_LOST,
        /** No reply was received in time. */
        TIMEOUT,
        /** The peer sent a typed error. */
        PEER_ERROR
    }

    private final Kind kind;

    public TransportException(Kind kind, String message) {
        this(kind, message, null);
    }

    public TransportException(Kind kind, String message, @Nullable Throwable cause) {
        super(message, cause);
        this.kind = kind;
    }

    public Kind kind() {
        return kind;
    }

    @Override
    public String type() {
        return "transport-" + kind.name().toLowerCase(Locale.ROOT).replace('_', '-');
    }
}
