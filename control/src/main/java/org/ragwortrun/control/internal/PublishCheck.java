package org.ragwortrun.control.internal;

import java.util.List;
import java.util.Optional;
import org.ragwortrun.core.config.ConfigurationChecker;
import org.ragwortrun.core.config.ConfigurationError;
import org.ragwortrun.core.time.Time;
import org.ragwortrun.proto.ConfigError;
import org.ragwortrun.proto.Publish;
import org.ragwortrun.proto.PublishReply;

/** Decides whether a publish may be proposed. */
final class PublishCheck {
    private final Time time;

    PublishCheck(Time time) {
        this.time = time;
    }

    /**
     * Returns the reply to a publish that must not be proposed.
     *
     * <p>A publish based on an older number is proposed unchecked: it can only be answered with a conflict or, if it is
     * a resend, with its first answer. One based on a newer number than the current one is a conflict; it must not be
     * proposed, because it would skip the check if that number came to exist meanwhile.
     */
    Optional<PublishReply> refusal(Publish publish, MetaSnapshot current) {
        if (publish.getBasedOn() > current.number()) {
            return Optional.of(PublishReply.newBuilder()
                    .setOutcome(PublishReply.Outcome.CONFLICT)
                    .setNumber(current.number())
                    .build());
        }
        if (publish.getBasedOn() < current.number()) {
            return Optional.empty();
        }
        List<ConfigurationError> errors =
                ConfigurationChecker.standard().check(publish.getSectionsList(), current.sections(), time.wallMillis());
        if (errors.isEmpty()) {
            return Optional.empty();
        }
        PublishReply.Builder invalid = PublishReply.newBuilder()
                .setOutcome(PublishReply.Outcome.INVALID)
                .setNumber(current.number());
        errors.forEach(e -> invalid.addErrors(wire(e)));
        return Optional.of(invalid.build());
    }

    private static ConfigError wire(ConfigurationError e) {
        return ConfigError.newBuilder()
                .setFile(e.file())
                .setLine(e.line())
                .setSection(e.section())
                .setKey(e.key())
                .setRule(e.rule())
                .setExpected(e.expected())
                .build();
    }
}
