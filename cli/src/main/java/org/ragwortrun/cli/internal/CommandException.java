package org.ragwortrun.cli.internal;

import org.jspecify.annotations.Nullable;
import org.ragwortrun.core.error.RagwortrunException;

/** Thrown when a command fails. The message is printed for the operator. */
final class CommandException extends RagwortrunException {
    private static final long serialVersionUID = 1L;

    private final ExitCode code;

    CommandException(ExitCode code, String message) {
        this(code, message, null);
    }

    CommandException(ExitCode code, String message, @Nullable Throwable cause) {
        super(message, cause);
        this.code = code;
    }

    ExitCode code() {
        return code;
    }

    @Override
    public String type() {
        return "command-failed";
    }
}
