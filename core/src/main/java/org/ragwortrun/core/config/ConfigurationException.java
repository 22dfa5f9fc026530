package org.ragwortrun.core.config;

import java.util.List;
import java.util.stream.Collectors;
import org.ragwortrun.core.error.RagwortrunException;

/** Thrown when operators' files violate rules. Contains all errors. */
public final class ConfigurationException extends RagwortrunException {
    private static final long serialVersionUID = 1L;

    private final transient List<ConfigurationError> errors;

    public ConfigurationException(List<ConfigurationError> errors) {
        super(errors.stream().map(ConfigurationError::toString).collect(Collectors.joining("; ")));
        this.errors = List.copyOf(errors);
    }

    public List<ConfigurationError> errors() {
        return errors;
    }

    @Override
    public String type() {
        return "invalid-configuration";
    }
}
