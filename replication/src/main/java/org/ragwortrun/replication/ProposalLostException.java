package org.ragwortrun.replication;

import org.ragwortrun.core.error.RagwortrunException;

/** Thrown when leadership ended before a command was known to be applied. The command may still be applied later. */
public final class ProposalLostException extends RagwortrunException {
    private static final long serialVersionUID = 1L;

    public ProposalLostException(int group, String reason) {
        super("outcome of a command of group " + group + " is unknown: " + reason);
    }

    @Override
    public String type() {
        return "proposal-lost";
    }
}
