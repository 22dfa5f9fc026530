package org.ragwortrun.replication.internal;

import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.LongPredicate;
import org.ragwortrun.replication.ProposalLostException;

/** Commands that were appended but not yet applied, by index. */
final class PendingCommands {
    private final int group;
    private final Map<Long, Appended> appended = new ConcurrentHashMap<>();

    private record Appended(long term, CompletableFuture<byte[]> reply) {}

    PendingCommands(int group) {
        this.group = group;
    }

    void add(long index, long term, CompletableFuture<byte[]> reply) {
        appended.put(index, new Appended(term, reply));
    }

    /** Completes the command at an index. If the applied entry has another term, it has replaced the command. */
    void complete(long index, long term, byte[] reply) {
        Appended a = appended.remove(index);
        if (a == null) {
            return;
        }
        if (a.term() == term) {
            a.reply().complete(reply);
        } else {
            a.reply().completeExceptionally(new ProposalLostException(group, "another leader replaced the entry"));
        }
    }

    /** Fails the commands at the matching indexes, because this member will not learn their outcome. */
    void failWithUnknownOutcome(LongPredicate indexes, String reason) {
        appended.keySet().stream().filter(indexes::test).toList().forEach(index -> {
            Appended a = appended.remove(index);
            if (a != null) {
                a.reply().completeExceptionally(new ProposalLostException(group, reason));
            }
        });
    }
}
