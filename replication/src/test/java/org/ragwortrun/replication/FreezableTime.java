package org.ragwortrun.replication;

import org.ragwortrun.core.time.Time;

/** System time that blocks every reader while it is frozen, which simulates a paused process. */
final class FreezableTime implements Time {
    private boolean frozen;

    synchronized void freeze() {
        frozen = true;
    }

    synchronized void unfreeze() {
        frozen = false;
        notifyAll();
    }

    @Override
    public long nanos() {
        synchronized (this) {
            while (frozen) {
                try {
                    wait();
                } catch (InterruptedException e) {
                    Thread.currentThread().interrupt();
                    break;
                }
            }
        }
        return System.nanoTime();
    }

    @Override
    public long wallMillis() {
        return System.currentTimeMillis();
    }
}
