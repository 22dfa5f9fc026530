package org.ragwortrun.ledger.internal;

import java.io.IOException;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import org.ragwortrun.proto.PublishReply;

/** The answers to the last publications, so that a resent publication gets its first answer. */
public final class PublishAnswers {
    private static final int MOST = 1_000;

    private final Map<String, PublishReply> answers = new LinkedHashMap<>();

    public Optional<PublishReply> find(String publishId) {
        return Optional.ofNullable(answers.get(publishId));
    }

    /** Remembers an answer and forgets the oldest one beyond the last thousand. */
    public void put(String publishId, PublishReply answer) {
        answers.put(publishId, answer);
        if (answers.size() > MOST) {
            answers.remove(answers.keySet().iterator().next());
        }
    }

    public void write(SnapshotWriter out) throws IOException {
        out.all(answers.entrySet(), e -> {
            out.text(e.getKey());
            out.message(e.getValue());
        });
    }

    public static PublishAnswers read(SnapshotReader in) throws IOException {
        PublishAnswers all = new PublishAnswers();
        in.all(() -> all.answers.put(in.text(), in.message(PublishReply.parser())));
        return all;
    }
}
