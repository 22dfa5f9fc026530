package org.ragwortrun.control.internal;

import java.util.concurrent.CompletableFuture;
import org.ragwortrun.proto.MetaCommand;
import org.ragwortrun.proto.MetaResult;

/** The group that owns the configuration. */
public interface MetaGroup extends Group {
    /** Proposes a command with the time of this member. Fails as a replicated group does. */
    CompletableFuture<MetaResult> propose(MetaCommand.Builder command);

    /** Returns the committed state that this member has applied. Current only under a lease. */
    MetaSnapshot snapshot();

    /** Calls the listener, which must not block, after each entry that this member applies. */
    void onChange(Runnable listener);
}
