package org.ragwortrun.replication.internal;

import com.google.protobuf.ByteString;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicLong;
import org.jspecify.annotations.Nullable;

/** Commands that wait to be appended, bounded by number and by size. */
final class ProposalQueue {
    private final BlockingQueue<Proposal> queue;
    private final long maxBytes;
    private final AtomicLong bytes = new AtomicLong();

    /** Command and its future reply. */
    record Proposal(ByteString command, CompletableFuture<byte[]> reply) {}

    ProposalQueue(int maxCommands, long maxBytes) {
        queue = new ArrayBlockingQueue<>(maxCommands);
        this.maxBytes = maxBytes;
    }

    /** Adds a command, or returns false if the queue is full. An empty queue accepts a command of any size. */
    boolean offer(Proposal p) {
        int size = p.command().size();
        if (bytes.addAndGet(size) > Math.max(size, maxBytes) || !queue.offer(p)) {
            bytes.addAndGet(-size);
            return false;
        }
        return true;
    }

    @Nullable
    Proposal poll() {
        Proposal p = queue.poll();
        if (p != null) {
            bytes.addAndGet(-p.command().size());
        }
        return p;
    }

    /** Removes commands up to a number, and until their size has reached a number of bytes. */
    List<Proposal> poll(int maxCommands, long maxBatchBytes) {
        List<Proposal> batch = new ArrayList<>();
        long batchBytes = 0;
        while (batch.size() < maxCommands && batchBytes < maxBatchBytes) {
            Proposal p = poll();
            if (p == null) {
                break;
            }
            batchBytes += p.command().size();
            batch.add(p);
        }
        return batch;
    }

    boolean isEmpty() {
        return queue.isEmpty();
    }

    int size() {
        return queue.size();
    }
}
