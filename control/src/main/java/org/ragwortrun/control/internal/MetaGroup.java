package org.ragwortrun.control.internal;

import java.util.concurrent.CompletableFuture;
import org.ragwortrun.proto.ConfigReply;
import org.ragwortrun.proto.ConfigUpdate;
import org.ragwortrun.proto.MetaCommand;
import org.ragwortrun.proto.MetaResult;

/** The group that owns the configuration. Reads are current only under a lease. */
public interface MetaGroup extends Group {
    /** Proposes a command, stamped with the time of this member. Fails in the same ways as a replicated group. */
    CompletableFuture<MetaResult> propose(MetaCommand.Builder command);

    /** Returns the number of the committed state that this member has applied. */
    long number();

    MetaSnapshot snapshot();

    /** Returns the configuration that this member has applied, with the document that it was published as. */
    ConfigReply configuration();

    /** Returns the update from a configuration number, or from none if 0, to the state that this member has applied. */
    ConfigUpdate updateFrom(long number);

    /** Calls the listener, which must not block, after each entry that this member applies. */
    void onChange(Runnable listener);
}
