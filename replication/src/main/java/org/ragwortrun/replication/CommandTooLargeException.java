package org.ragwortrun.replication;

import org.ragwortrun.core.error.RagwortrunException;

/** Thrown when a command does not fit into one frame between members. The command was not appended. */
public final class CommandTooLargeException extends RagwortrunException {
    private static final long serialVersionUID = 1L;

    public CommandTooLargeException(int size, int limit) {
        super("command of " + size + " bytes exceeds the limit of " + limit + " bytes");
    }

    @Override
    public String type() {
        return "command-too-large";
    }
}
