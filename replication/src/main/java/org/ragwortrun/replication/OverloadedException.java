package org.ragwortrun.replication;

import org.ragwortrun.core.error.RagwortrunException;

/** Thrown when the queue of pending commands is full. The command was not appended. */
public final class OverloadedException extends RagwortrunException {
    private static final long serialVersionUID = 1L;

    public OverloadedException(int group, int waiting) {
        super("group " + group + " has " + waiting + " commands waiting");
    }

    @Override
    public String type() {
        return "overloaded";
    }
}
