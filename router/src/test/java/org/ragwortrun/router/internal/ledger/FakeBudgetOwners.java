package org.ragwortrun.router.internal.ledger;

import java.time.Duration;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.ragwortrun.proto.BudgetRef;
import org.ragwortrun.proto.ShardCommand;
import org.ragwortrun.proto.ShardResult;

/** One shard, whose results a test determines. */
final class FakeBudgetOwners implements BudgetOwners {
    private static final long WAIT_S = 10;

    /** Number of the next commands that fail with an error instead of being sent. */
    final AtomicInteger errors = new AtomicInteger();

    private final BlockingQueue<Call> calls = new LinkedBlockingQueue<>();

    /** A command and its result. */
    record Call(ShardCommand command, CompletableFuture<ShardResult> result) {}

    @Override
    public int count() {
        return 1;
    }

    @Override
    public int groupOf(BudgetRef budget) {
        return 1;
    }

    @Override
    public boolean isPartitioned() {
        return false;
    }

    @Override
    public CompletableFuture<ShardResult> send(int group, ShardCommand.Builder command, Duration timeout) {
        if (errors.getAndUpdate(n -> Math.max(0, n - 1)) > 0) {
            throw new OutOfMemoryError("test");
        }
        Call call = new Call(command.build(), new CompletableFuture<>());
        calls.add(call);
        return call.result();
    }

    Call next() throws InterruptedException {
        Call call = calls.poll(WAIT_S, TimeUnit.SECONDS);
        if (call == null) {
            throw new AssertionError("nothing was sent");
        }
        return call;
    }
}
