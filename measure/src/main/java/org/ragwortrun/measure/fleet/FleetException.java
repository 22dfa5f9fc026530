package org.ragwortrun.measure.fleet;

import org.ragwortrun.core.error.RagwortrunException;

/** Thrown when a process of the fleet fails to start, respond or end as expected. */
public final class FleetException extends RagwortrunException {
    private static final long serialVersionUID = 1L;

    public FleetException(String message) {
        super(message);
    }

    public FleetException(String message, Throwable cause) {
        super(message, cause);
    }

    @Override
    public String type() {
        return "fleet";
    }
}
