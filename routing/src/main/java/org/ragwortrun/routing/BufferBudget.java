package org.ragwortrun.routing;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/** Limits the bytes buffered in this process, in total and for each client account. */
public final class BufferBudget {
    private final long processBytes;
    private final long accountBytes;
    private final Map<String, Long> byAccount = new ConcurrentHashMap<>();
    private long used;

    public BufferBudget(long processBytes, long accountBytes) {
        this.processBytes = processBytes;
        this.accountBytes = accountBytes;
    }

    /** Reserves bytes for an account. Returns false and reserves nothing if a limit would be exceeded. */
    public synchronized boolean tryReserve(String account, long bytes) {
        long own = byAccount.getOrDefault(account, 0L);
        if (used + bytes > processBytes || own + bytes > accountBytes) {
            return false;
        }
        used += bytes;
        byAccount.put(account, own + bytes);
        return true;
    }

    /** Releases bytes that were reserved by {@link #tryReserve}. */
    public synchronized void release(String account, long bytes) {
        used -= bytes;
        byAccount.computeIfPresent(account, (a, own) -> own > bytes ? own - bytes : null);
    }

    /** Returns the bytes reserved by all accounts. */
    public synchronized long used() {
        return used;
    }
}
