package org.ragwortrun.replication.internal;

import org.ragwortrun.core.concurrent.Closer;
import org.ragwortrun.core.concurrent.Duty;

/** Three duties that serve a share of the groups: one runs the cores, one syncs, one applies. */
public record GroupThreads(Duty core, Duty sync, Duty apply) {
    /** Starts the duties. Each group waits at most once in each ring. */
    public static GroupThreads start(int number, int groups, Closer closer) {
        int ring = groups + 1;
        Duty apply = closer.register(new Duty("replication-apply-" + number, ring));
        Duty sync = closer.register(new Duty("replication-sync-" + number, ring));
        Duty core = closer.register(new Duty("replication-core-" + number, ring));
        return new GroupThreads(core, sync, apply);
    }
}
