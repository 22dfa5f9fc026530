package org.ragwortrun.replication.internal;

import org.ragwortrun.core.concurrent.Closer;
import org.ragwortrun.core.concurrent.Duty;

/** Threads that serve a subset of the groups: one runs the Raft cores, one syncs files, one applies entries. */
public record GroupThreads(Duty core, Duty sync, Duty apply) {
    /** Starts the threads. The queues have room for all groups, since each group is queued at most once per thread. */
    public static GroupThreads start(int number, int groups, Closer closer) {
        int capacity = groups + 1;
        Duty apply = closer.register(new Duty("replication-apply-" + number, capacity));
        Duty sync = closer.register(new Duty("replication-sync-" + number, capacity));
        Duty core = closer.register(new Duty("replication-core-" + number, capacity));
        return new GroupThreads(core, sync, apply);
    }
}
