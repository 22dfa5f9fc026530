package org.ragwortrun.core.settings;

import java.util.List;
import org.jspecify.annotations.Nullable;
import org.ragwortrun.core.error.RagwortrunException;

/** Thrown when a settings file cannot be used. Names every key that is wrong. */
public final class SettingsException extends RagwortrunException {
    private static final long serialVersionUID = 1L;

    private final List<String> problems;

    public SettingsException(String file, List<String> problems) {
        this(file, problems, null);
    }

    public SettingsException(String file, List<String> problems, @Nullable Throwable cause) {
        super(file + ": " + String.join("; ", problems), cause);
        this.problems = List.copyOf(problems);
    }

    public List<String> problems() {
        return problems;
    }

    @Override
    public String type() {
        return "invalid-settings";
    }
}
