package org.ragwortrun.measure;

import org.ragwortrun.core.error.RagwortrunException;

/** Thrown when a measurement could not be carried out. */
public final class MeasurementException extends RagwortrunException {
    private static final long serialVersionUID = 1L;

    public MeasurementException(String message) {
        super(message);
    }

    public MeasurementException(String message, Throwable cause) {
        super(message, cause);
    }

    @Override
    public String type() {
        return "measurement-failed";
    }
}
