package org.ragwortrun.ledger.internal;

import java.io.IOException;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import org.ragwortrun.proto.PublishReply;

/** Replies to the latest publications, so that a resent publication gets the original reply. */
public final class PublishReplyCache {
    private static final int MAX_REPLIES = 1_000;

    private final Map<String, PublishReply> replies = new LinkedHashMap<>();

    public Optional<PublishReply> find(String publishId) {
        return Optional.ofNullable(replies.get(publishId));
    }

    /** Stores a reply and evicts the oldest one above the limit. */
    public void put(String publishId, PublishReply reply) {
        replies.put(publishId, reply);
        if (replies.size() > MAX_REPLIES) {
            replies.remove(replies.keySet().iterator().next());
        }
    }

    public void write(SnapshotWriter out) throws IOException {
        out.all(replies.entrySet(), e -> {
            out.text(e.getKey());
            out.message(e.getValue());
        });
    }

    public static PublishReplyCache read(SnapshotReader in) throws IOException {
        PublishReplyCache all = new PublishReplyCache();
        in.all(() -> all.replies.put(in.text(), in.message(PublishReply.parser())));
        return all;
    }
}
