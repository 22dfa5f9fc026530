package org.ragwortrun.replication.internal;

import org.ragwortrun.core.concurrent.Closer;
import org.ragwortrun.core.concurrent.SingleThreadExecutor;

/** Threads that serve a subset of the groups: one runs the Raft cores, one syncs files, one applies entries. */
public record GroupThreads(SingleThreadExecutor core, SingleThreadExecutor sync, SingleThreadExecutor apply) {
    /** Starts the threads. The queues have room for all groups, since each group is queued at most once per thread. */
    public static GroupThreads start(int number, int groups, Closer closer) {
        int capacity = groups + 1;
        SingleThreadExecutor apply = closer.register(new SingleThreadExecutor("replication-apply-" + number, capacity));
        SingleThreadExecutor sync = closer.register(new SingleThreadExecutor("replication-sync-" + number, capacity));
        SingleThreadExecutor core = closer.register(new SingleThreadExecutor("replication-core-" + number, capacity));
        return new GroupThreads(core, sync, apply);
    }
}
